import type { TargetCheck } from './TargetCheck.js';
import type { UnavailableReason } from './UnavailableReason.js';

type ExplainedPick =
  | { readonly candidates: readonly TargetCheck[] }
  | { readonly candidates: null; readonly reason: UnavailableReason };

type Exclusion = NonNullable<TargetCheck['exclusion']>;

/**
 * Explains what `TargetPicker.pick` would do with the targets that `TargetPicker.check` lists.
 *
 * @returns the candidates, least loaded first, or the reason why there is none
 */
export function explainPick(checks: readonly TargetCheck[]): ExplainedPick {
  const open = checks.filter(({ hold, exclusion }) => hold === 'open' && isUsable(exclusion));
  const picked = explainFrom(open);
  if (picked.candidates !== null) return picked;
  const leaving = checks.filter(
    ({ hold, exclusion }) => hold === 'last_resort' && isUsable(exclusion),
  );
  if (leaving.length > 0) return explainFrom(leaving);
  const isBackingOff = checks.some(({ exclusion }) => exclusion === 'backing_off');
  if (isBackingOff && open.length === 0) return { candidates: null, reason: 'target_backoff' };
  return picked;
}

function isUsable(exclusion: TargetCheck['exclusion']): boolean {
  return exclusion !== 'draining' && exclusion !== 'zone_out' && exclusion !== 'failed_before';
}

function explainFrom(checks: readonly TargetCheck[]): ExplainedPick {
  const candidates = checks.filter(({ exclusion }) => exclusion === null);
  if (candidates.length > 0) {
    candidates.sort((a, b) => a.occupancy - b.occupancy || a.failures - b.failures);
    return { candidates };
  }
  const exclusions = new Set(checks.map(({ exclusion }) => exclusion as Exclusion));
  return { candidates: null, reason: findReason(exclusions) };
}

/** The reason of the last rule that any target reached. */
function findReason(exclusions: ReadonlySet<Exclusion>): UnavailableReason {
  if (exclusions.has('initial_map')) return 'not_formed';
  if (exclusions.has('busy')) return 'overloaded';
  if (exclusions.has('cold')) return 'target_cold';
  if (exclusions.has('limited')) return 'target_limited';
  return exclusions.has('group_forming') ? 'not_formed' : 'no_target';
}
