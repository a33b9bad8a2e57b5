import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { z } from 'zod';
import { IniFormat, readSettings } from '@limpetbay/runtime';

const schema = z.strictObject({
  entry: z.strictObject({ port: z.coerce.number().int().min(1).max(65_535) }),
});

// Guards against an error that does not show the operator the location of the invalid value.
it('reports file, section, key and allowed range of an invalid setting', () => {
  const file = join(mkdtempSync(join(tmpdir(), 'limpetbay-')), 'entry.ini');
  writeFileSync(file, '[entry]\nport = 70000\n');
  const result = readSettings(file, new IniFormat(schema));
  expect(result.err).toBe(true);
  expect(result.val).toMatchObject({ kind: 'invalid_setting' });
  expect((result.val as { message: string }).message).toContain(`${file}: [entry] port: `);
  expect((result.val as { message: string }).message).toContain('whole number from 1 to 65535');
});
