import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ServiceDocument, type Failure } from '@limpetbay/core';
import { diffDocuments, formatDocument, parseDocument } from '@limpetbay/operators';

const SEED = 20_261;

const example = `[service]
name = canerota
kind = model            ; model | plain
isolation = refuse      ; refuse | serve
[zones]
in = a, b, c
out =
[targets]
include = canerota-*    ; names or patterns matched against the instance list
exclude =
fencing = checked       ; checked | ignored
[group canerota-g0]     ; model only: ranks in order
ranks = 12
targets = canerota-g0-*
[ramp]
start = 1
growth = 1.5
interval_ms = 1000
[limits]
max_in_flight = 64
queue = 128
deadline_ms = 30000
body_bytes = 1048576
[keys]
retention_hours = 24
`;

function getParseError(text: string): string {
  const parsed = parseDocument(text, 'canerota.ini');
  expect(parsed.err).toBe(true);
  const failure = parsed.val as Failure;
  expect(failure.kind).toBe('invalid_document');
  return failure.message;
}

describe('parseDocument', () => {
  // Guards against ranks in text order, where 10 comes before 2.
  it('reads the example of the design page with ranks in numeric order', () => {
    const document = parseDocument(example, 'canerota.ini').unwrap();
    expect(document.zones).toEqual({ in: ['a', 'b', 'c'], out: [] });
    const ranks = Array.from({ length: 12 }, (_, rank) => `canerota-g0-${rank}`);
    expect(document.groups).toEqual([{ name: 'canerota-g0', ranks }]);
  });

  // Guards against an invalid value that is accepted, or whose message lacks location or allowed range.
  it.each([
    ['queue = 128', 'queue = 200000', '[limits] queue: ', 'whole number from 0 to 100000'],
    ['queue = 128', 'queue = many', '[limits] queue: ', 'whole number from 0 to 100000'],
    ['queue = 128', 'queue =', '[limits] queue: ', 'whole number from 0 to 100000'],
    ['queue = 128', 'que = 128', '[limits] que: unknown key', 'queue'],
    ['queue = 128', 'queue', 'line 21', "'key = value'"],
    ['queue = 128', 'queue = 1\nqueue = 2', '[limits] queue: ', 'twice'],
    ['kind = model ', 'kind = modal ', '[service] kind: ', 'model | plain'],
    ['include = canerota-*', 'include =', '[targets] include: ', 'at least 1'],
    ['[ramp]', '[rampe]', '[rampe]: unknown section', 'ramp'],
    ['[ramp]', '[group canerota-g0]\nranks = 1\n[ramp]', '[group canerota-g0]', 'twice'],
    ['[ramp]', '[group h]\nranks=1\ntargets=canerota-g0-*\n[ramp]', '[group h] targets', 'once'],
    ['[ramp]', '[routes]\nGET / = once\n[ramp]', '[routes]', 'kind = plain'],
    ['ranks = 12', 'ranks = 5000', '[group canerota-g0] ranks: ', 'from 1 to 4096'],
    ['ranks = 12\n', '', '[group canerota-g0] ranks: missing', 'requires it'],
    ['canerota-g0-*', 'other-*', '[group canerota-g0] targets: ', 'no target of the service'],
    ['out =', 'out = b', '[zones] in, out: ', "zone 'b'"],
  ])('rejects %j replaced by %j', (before, after, location, allowed) => {
    expect(example).toContain(before);
    const message = getParseError(example.replace(before, after));
    expect(message).toContain('canerota.ini: ');
    expect(message).toContain(location);
    expect(message).toContain(allowed);
  });

  it('reports the route of an invalid rule', () => {
    const text =
      '[service]\nname=b\nkind=plain\n[targets]\ninclude=b-*\n[routes]\nFETCH / = twice\n';
    const message = getParseError(text);
    expect(message).toContain("[routes] FETCH /: 'FETCH /' is not allowed; allowed: GET | HEAD");
    expect(message).toContain("'twice' is not allowed; allowed: repeatable | once");
  });
});

const name = fc.stringMatching(/^[a-z][a-z0-9.-]{0,8}[a-z]$/);
const documents = fc
  .record({
    name,
    zones: fc.uniqueArray(name, { maxLength: 4 }),
    out: fc.nat(4),
    groups: fc.uniqueArray(name, { maxLength: 3 }),
    ranks: fc.integer({ min: 1, max: 20 }),
    isListed: fc.boolean(),
    growth: fc.integer({ min: 102, max: 400 }),
    queue: fc.nat(100_000),
  })
  .map(({ name: service, zones, out, groups, ranks, isListed, growth, queue }) =>
    ServiceDocument.parse({
      service: { name: service, kind: 'model' },
      zones: { in: zones.slice(out), out: zones.slice(0, out) },
      targets: { include: ['*'] },
      groups: groups.map((group) => ({
        name: group,
        ranks: Array.from({ length: ranks }, (_, rank) =>
          isListed ? `${group}-${ranks - rank}!` : `${group}!${rank}`,
        ),
      })),
      ramp: { growth: growth / 100 },
      limits: { queue },
      keys: {},
    }),
  );

describe('formatDocument', () => {
  // Guards against `show` printing a document that `accept` reads differently, such as one with dots in
  // group names or with ranks that no pattern describes.
  it('formats documents so that parseDocument returns equal ones', () => {
    fc.assert(
      fc.property(documents, (document) => {
        const text = formatDocument(document);
        const read = parseDocument(text, 'x.ini').unwrap();
        expect(read).toEqual(document);
        expect(diffDocuments(document, read)).toEqual([]);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});
