import { readFileSync } from 'node:fs';
import { expect, it } from 'vitest';
import { z } from 'zod';
import { ServiceDocument, describeAllowed } from '@limpetbay/core';
import { documentKeys } from '@limpetbay/operators';

const page = readFileSync(new URL('../../../docs/operators/documents.md', import.meta.url), 'utf8');

const ROW = /^\| `\[(\w+)\]` \| `(\w+)` \| (.+?) \| (.+?) \| .+ \|$/gm;

// Guards against a page that names a key, default or range which the schema does not have, and
// against a key that the page leaves out.
it('lists every key of a document with the default and range of the schema', () => {
  const [, keys = ''] = page.split('## Keys');
  const rows = [...(keys.split('## Groups')[0] ?? '').matchAll(ROW)].map((row) => row.slice(1, 5));
  const expected = documentKeys.map(({ section, key, path }) => {
    const { allowed, defaultText } = describeAllowed(ServiceDocument, path);
    const filled = defaultText === '' ? '(empty)' : `\`${defaultText}\``;
    const shown = defaultText === null ? '(required)' : filled;
    return [section, key, shown, allowed.replaceAll(' | ', ' or ')];
  });
  expect(rows).toEqual(expected);
});

// Guards against a key of the schema that no INI key sets, so that operators cannot change it.
it('has an INI key for every value of the schema outside groups and routes', () => {
  const { properties = {} } = z.toJSONSchema(ServiceDocument, { io: 'input' });
  const paths: string[] = [];
  for (const [part, node] of Object.entries(properties)) {
    if (part === 'groups' || part === 'routes' || typeof node === 'boolean') continue;
    for (const key of Object.keys(node.properties ?? {})) paths.push(`${part}.${key}`);
  }
  expect(documentKeys.map(({ path }) => path.join('.')).sort()).toEqual(paths.sort());
});
