import type { Clock, Failure, InstanceRecord, Result } from '@limpetbay/core';
import type { RevisionReport } from '@limpetbay/rpc';
import { runParallel } from '../parallel/runParallel.js';

interface ConfirmOptions {
  readonly service: string;
  readonly revision: number;
  readonly instances: readonly InstanceRecord[];
  readonly clock: Clock;
  /** Time within which the revision must be active on all instances, milliseconds. */
  readonly limitMs: number;
  readonly sleep: (delayMs: number) => Promise<void>;
  readonly fetchReport: (
    address: string,
    timeoutMs: number,
  ) => Promise<Result<RevisionReport, Failure>>;
}

interface Confirmation {
  /** Number of instances that had the revision active in time. */
  readonly confirmed: number;
  /** Time until the last confirmed instance had the revision active, milliseconds from the start. */
  readonly lastMs: number;
  /** Highest revision that an instance reported; 0 if none did. */
  readonly newestRevision: number;
  /** Unconfirmed instances, with the reason from their latest answer. */
  readonly missing: readonly { readonly instance: InstanceRecord; readonly reason: string }[];
}

const POLL_INTERVAL_MS = 100;
const REPORT_TIMEOUT_MS = 1000;
/** Polling rounds after the limit, for answers that do not show if the revision was in time. */
const MAX_LATE_ROUNDS = 4;

/**
 * Polls all instances until `revision` is active on each of them or the time limit has passed. An
 * instance reports how long the revision has been active, so each is polled at least once, even if
 * polling a large fleet takes longer than the limit.
 */
export async function confirmActivation(options: ConfirmOptions): Promise<Confirmation> {
  const { service, revision, instances, clock, limitMs, sleep, fetchReport } = options;
  const startedAt = clock.getNow();
  const getElapsedMs = (): number => clock.getNow() - startedAt;
  const reasons = new Map<InstanceRecord, string>();
  for (const instance of instances) reasons.set(instance, 'not asked');
  let lastMs = 0;
  let newestRevision = 0;
  let undecided = 0;
  let lateRounds = 0;
  const checkInstance = async (instance: InstanceRecord): Promise<void> => {
    const sentMs = getElapsedMs();
    const answer = await fetchReport(instance.address, REPORT_TIMEOUT_MS);
    if (answer.err) {
      reasons.set(instance, `no answer at ${instance.address}`);
      return;
    }
    const reported = answer.val.revisions.get(service);
    newestRevision = Math.max(newestRevision, reported?.revision ?? 0);
    if (reported === undefined || reported.revision < revision) {
      const shown =
        reported === undefined
          ? 'the service is unknown there'
          : `at revision ${reported.revision}`;
      reasons.set(instance, shown);
      return;
    }
    // A newer revision does not show when this one became active, so it counts as in time. The
    // instance answered at some moment between the request and now, so the time of activation is
    // known only within that range.
    const isNewer = reported.revision > revision;
    const earliestMs = isNewer ? 0 : sentMs - reported.inForceMs;
    const latestMs = isNewer ? 0 : getElapsedMs() - reported.inForceMs;
    if (latestMs <= limitMs) {
      reasons.delete(instance);
      lastMs = Math.max(lastMs, latestMs);
    } else {
      if (earliestMs <= limitMs) undecided += 1;
      reasons.set(instance, `in force only after ${Math.round(latestMs)} ms`);
    }
  };
  while (true) {
    undecided = 0;
    await runParallel([...reasons.keys()], checkInstance);
    const isLate = getElapsedMs() + POLL_INTERVAL_MS >= limitMs;
    if (isLate) lateRounds += 1;
    if (reasons.size === 0 || (isLate && (undecided === 0 || lateRounds >= MAX_LATE_ROUNDS))) {
      const missing = [...reasons].map(([instance, reason]) => ({ instance, reason }));
      const confirmed = instances.length - missing.length;
      return { confirmed, lastMs, newestRevision, missing };
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
