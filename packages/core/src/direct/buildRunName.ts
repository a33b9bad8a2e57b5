import type { DirectTarget } from './DirectTarget.js';

/** Returns a name of one run of a target; its id may be used again after a restart. */
export function buildRunName({ id, bornMs }: DirectTarget): string {
  return `${id}@${bornMs}`;
}
