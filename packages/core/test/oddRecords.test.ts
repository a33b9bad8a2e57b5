import { describe, expect, it } from 'vitest';
import {
  InstanceRecord,
  Revision,
  decodeStoredDocument,
  parseMapRecord,
  servicePrefix,
} from '../src/index.js';

const NESTED = `${'['.repeat(2_000_000)}${']'.repeat(2_000_000)}`;

const DOCUMENT = {
  service: { name: 's', kind: 'plain' },
  zones: {},
  targets: { include: ['*'] },
  ramp: {},
  limits: {},
  keys: {},
};

const INSTANCE = { id: 'i', role: 'entry', zone: 'a', address: '127.0.0.1:1', state: 'live' };

function decode(value: string): ReturnType<typeof decodeStoredDocument> {
  return decodeStoredDocument({ key: `${servicePrefix}s`, value, revision: Revision.parse(5) });
}

// Guards against a record in the store or in the list of instances that throws where it is read.
describe('records of other writers', () => {
  it('a document with an odd revision, or nested too deeply, is refused', () => {
    expect(decode(JSON.stringify({ operationId: 'o', document: DOCUMENT })).ok).toBe(true);
    for (const revision of [-1, 1.5, 1e300, Number.MAX_SAFE_INTEGER]) {
      const value = { operationId: 'o', leastRevision: revision, document: DOCUMENT };
      expect(decode(JSON.stringify(value)).err).toBe(true);
    }
    const startMs = performance.now();
    expect(decode(`{"operationId":"o","document":${NESTED}}`).err).toBe(true);
    expect(parseMapRecord(NESTED).err).toBe(true);
    expect(performance.now() - startMs).toBeLessThan(200);
  });

  it.each([
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1',
    ':80',
    '',
    'a b:80',
    'http://h:80',
    'h:80:1',
  ])('an instance with the address %j is refused', (address) => {
    expect(InstanceRecord.safeParse({ ...INSTANCE, address }).success).toBe(false);
  });

  it.each(['127.0.0.1:65535', 'entry-1:50051', 'entry.example:1'])(
    'an instance with the address %j is accepted',
    (address) => {
      expect(InstanceRecord.safeParse({ ...INSTANCE, address }).success).toBe(true);
    },
  );
});
