import { describe, expect, it } from 'vitest';
import { measureNesting, parseJson, type Failure } from '../src/index.js';

// Guards against records that occupy the process or its memory while they are parsed.
describe('parseJson', () => {
  it('refuses what is nested too deeply, whether or not it is valid JSON', () => {
    const levels = 5_000_000;
    const valid = `${'['.repeat(levels)}${']'.repeat(levels)}`;
    for (const text of [valid, '[{"a":'.repeat(levels)]) {
      expect((parseJson(text).val as Failure).message).toContain('64 levels');
    }
  });

  it('counts no brackets in strings', () => {
    const text = JSON.stringify({ a: `\\"${'['.repeat(5000)}\\`, b: ['"[', ']'] });
    expect(measureNesting(text, 64)).toBe(2);
    expect(parseJson(text).ok).toBe(true);
  });

  it('accepts wide values and up to 64 levels', () => {
    const wide = JSON.stringify(Array.from({ length: 10_000 }, () => [[{}]]));
    expect(parseJson(wide).ok).toBe(true);
    const deep = (levels: number): string =>
      `${'['.repeat(levels)}"${'x'.repeat(2000)}"${']'.repeat(levels)}`;
    expect(parseJson(deep(64)).ok).toBe(true);
    expect(parseJson(deep(65)).err).toBe(true);
  });

  it('reports text that is not JSON, also where a string does not end', () => {
    for (const text of ['', '{', `["${'x'.repeat(5000)}`, `"${'\\'.repeat(5001)}"`, '\ufffd']) {
      expect(parseJson(text).val).toMatchObject({ kind: 'invalid_document', message: 'not JSON' });
    }
  });
});
