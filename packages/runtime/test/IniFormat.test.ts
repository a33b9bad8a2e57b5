import { expect, it } from 'vitest';
import { z } from 'zod';
import { IniFormat, checkSettings } from '@limpetbay/runtime';

const schema = z.strictObject({
  entry: z.strictObject({ id: z.string() }),
  timing: z.strictObject({ tick_ms: z.coerce.number().default(20) }).prefault({}),
});
const VALID = '[entry]\nid=a\n';

// Guards against names in a settings file that end the check with an exception, change the
// prototype of all objects, or are taken for a setting of a section.
it.each([
  ['a section as a key', `timing=5\ntiming.tick_ms=20\n${VALID}`],
  ['a key with a dot', `timing.tick_ms=30\n${VALID}`],
  ['a prototype', `__proto__.odd=1\n${VALID}`],
  ['a constructor', `constructor=1\nconstructor.prototype=2\n${VALID}`],
  ['a method', `[toString]\na=1\n${VALID}`],
  ['a method in a section', `[entry]\nid=a\ntoString=1\n`],
])('refuses %s', (_name, text) => {
  const before = Object.getOwnPropertyNames(Object.prototype);
  const checked = checkSettings(new IniFormat(schema), text, 'entry.ini');
  const after = Object.getOwnPropertyNames(Object.prototype);
  for (const name of after) {
    if (!before.includes(name)) delete (Object.prototype as Record<string, unknown>)[name];
  }
  expect(after).toEqual(before);
  expect(checked.val).toMatchObject({ kind: 'invalid_setting' });
});

it.each([
  ['plain', VALID],
  ['with CRLF', VALID.replaceAll('\n', '\r\n')],
])('accepts a valid file: %s', (_name, text) => {
  expect(checkSettings(new IniFormat(schema), text, 'entry.ini').ok).toBe(true);
});
