const SYLLABLES = ['ca', 'ne', 'ro', 'ta', 'lu', 'mi', 'so', 've', 'da', 'pi', 'go', 're'];

/** Derives word number `index` of the answer to `prompt`; the same input gives the same word. */
export function createWord(prompt: string, index: number): string {
  let hash = 2_166_136_261 ^ index;
  for (let position = 0; position < prompt.length; position += 1) {
    hash = Math.imul(hash ^ prompt.charCodeAt(position), 16_777_619) >>> 0;
  }
  let word = '';
  for (let part = 0; part < 2; part += 1) {
    word += SYLLABLES[(hash >>> (part * 8)) % SYLLABLES.length]!;
  }
  return word;
}
