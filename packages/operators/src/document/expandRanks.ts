import { Ok, fail, type Failure, type Result } from '@limpetbay/core';

/** Maximum number of ranks of a group; same limit as in the schema. */
const MAX_RANKS = 4096;

/**
 * Expands the key `targets` of a group to the targets by rank: `NAME-*` with N ranks becomes `NAME-0`
 * to `NAME-(N-1)`, in numeric order. A list without a pattern is returned unchanged.
 *
 * @param items items of the key `targets`
 * @param ranksText value of the key `ranks`; null if absent
 * @returns the targets by rank, or `invalid_document` with the key and the reason
 */
export function expandRanks(
  items: readonly string[],
  ranksText: string | null,
): Result<string[], Failure> {
  const ranks = ranksText === null ? null : Number(ranksText);
  const isValidCount =
    ranks !== null && Number.isInteger(ranks) && ranks >= 1 && ranks <= MAX_RANKS;
  if (ranks !== null && !isValidCount) {
    const allowed = `allowed: whole number from 1 to ${MAX_RANKS}`;
    return fail('invalid_document', `ranks: '${ranksText}' is not allowed; ${allowed}`);
  }
  const [first = ''] = items;
  if (items.length === 1 && first.includes('*')) {
    if (ranks === null) {
      return fail('invalid_document', `ranks: missing; the pattern '${first}' requires it`);
    }
    if (first.split('*').length !== 2) {
      return fail('invalid_document', `targets: '${first}' has more than one *; allowed: one`);
    }
    return Ok(Array.from({ length: ranks }, (_, rank) => first.replace('*', String(rank))));
  }
  const pattern = items.find((item) => item.includes('*'));
  if (pattern !== undefined) {
    return fail('invalid_document', `targets: '${pattern}' is mixed with others; allowed: alone`);
  }
  if (items.length === 0) {
    return fail('invalid_document', 'targets: missing; allowed: NAME-* or the targets by rank');
  }
  if (ranks !== null && ranks !== items.length) {
    const counts = `${items.length} targets for ranks = ${ranks}`;
    return fail('invalid_document', `targets: ${counts}; allowed: one target for each rank`);
  }
  return Ok([...items]);
}
