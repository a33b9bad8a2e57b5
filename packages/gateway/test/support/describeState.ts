import type { DirectTarget } from '@limpetbay/core';

/** Describes a configuration version, zones that are out of service, and targets to be used. */
export function describeState(
  version: number,
  evacuated: Iterable<string>,
  targets: readonly DirectTarget[],
): string {
  const used = targets.filter(({ isDraining }) => !isDraining);
  const runs = used.map(({ id, bornMs }) => `${id}/${bornMs}`);
  return `version ${version}; out: ${[...evacuated].sort().join()}; ${runs.sort().join(' ')}`;
}
