const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPEN_BRACKET = 0x5b;
const CLOSE_BRACKET = 0x5d;
const OPEN_BRACE = 0x7b;
const CLOSE_BRACE = 0x7d;

/**
 * Measures how deeply arrays and objects are nested in JSON text, without parsing it.
 *
 * @param limit the text is not read beyond the first value that is nested more deeply
 */
export function measureNesting(text: string, limit: number): number {
  let depth = 0;
  let deepest = 0;
  for (let index = 0; index < text.length && deepest <= limit; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) {
      const end = findStringEnd(text, index);
      if (end < 0) break;
      index = end;
    } else if (code === OPEN_BRACKET || code === OPEN_BRACE) {
      depth += 1;
      deepest = Math.max(deepest, depth);
    } else if (code === CLOSE_BRACKET || code === CLOSE_BRACE) depth -= 1;
  }
  return deepest;
}

/** Finds the closing quote of a string; one behind an odd number of backslashes is escaped. */
function findStringEnd(text: string, start: number): number {
  for (let end = text.indexOf('"', start + 1); end >= 0; end = text.indexOf('"', end + 1)) {
    let backslashes = 0;
    while (text.charCodeAt(end - 1 - backslashes) === BACKSLASH) backslashes += 1;
    if (backslashes % 2 === 0) return end;
  }
  return -1;
}
