import { readFileSync } from 'node:fs';
import { expect, it } from 'vitest';
import { z } from 'zod';
import { ServiceDocument, describeAllowed } from '@limpetbay/core';
import { documentKeys } from '@limpetbay/operators';

const page = readFileSync(new URL('../../../docs/operators/documents.md', import.meta.url), 'utf8');

const TABLE_ROW = /^\| `\[(\w+)\]` \| `(\w+)` \| (.+?) \| (.+?) \| .+ \|$/gm;

// Guards against a key, default or range in the page that differs from the schema, and against a key
// that is missing in the page.
it('lists every key of a document with the default and range of the schema', () => {
  const [, keys = ''] = page.split('## Keys');
  const rows = [...(keys.split('## Groups')[0] ?? '').matchAll(TABLE_ROW)].map((row) =>
    row.slice(1, 5),
  );
  const expected = documentKeys.map(({ section, key, path }) => {
    const { allowed, defaultText } = describeAllowed(ServiceDocument, path);
    const optionalDefault = defaultText === '' ? '(empty)' : `\`${defaultText}\``;
    const expectedDefault = defaultText === null ? '(required)' : optionalDefault;
    return [section, key, expectedDefault, allowed.replaceAll(' | ', ' or ')];
  });
  expect(rows).toEqual(expected);
});

// Guards against a value of the schema that operators cannot set because no INI key maps to it.
it('has an INI key for every value of the schema outside groups and routes', () => {
  const { properties = {} } = z.toJSONSchema(ServiceDocument, { io: 'input' });
  const paths: string[] = [];
  for (const [part, node] of Object.entries(properties)) {
    if (part === 'groups' || part === 'routes' || typeof node === 'boolean') continue;
    for (const key of Object.keys(node.properties ?? {})) paths.push(`${part}.${key}`);
  }
  expect(documentKeys.map(({ path }) => path.join('.')).sort()).toEqual(paths.sort());
});
