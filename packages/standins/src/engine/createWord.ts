const SYLLABLES = ['ca', 'ne', 'ro', 'ta', 'lu', 'mi', 'so', 've', 'da', 'pi', 'go', 're'];

/** Creates the word that an engine generates at `index` of the answer to `prompt`. */
export function createWord(prompt: string, index: number): string {
  let hash = 2_166_136_261 ^ index;
  for (let at = 0; at < prompt.length; at += 1) {
    hash = Math.imul(hash ^ prompt.charCodeAt(at), 16_777_619) >>> 0;
  }
  let word = '';
  for (let part = 0; part < 2; part += 1) {
    word += SYLLABLES[(hash >>> (part * 8)) % SYLLABLES.length]!;
  }
  return word;
}
