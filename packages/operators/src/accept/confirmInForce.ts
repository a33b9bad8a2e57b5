import type { Clock, Failure, InstanceRecord, Result } from '@limpetbay/core';
import type { RevisionReport } from '@limpetbay/rpc';
import { runParallel } from '../parallel/runParallel.js';

interface ConfirmOptions {
  readonly service: string;
  readonly revision: number;
  readonly instances: readonly InstanceRecord[];
  readonly clock: Clock;
  /** Time within which the revision must be in force everywhere, milliseconds. */
  readonly limitMs: number;
  readonly sleep: (delayMs: number) => Promise<void>;
  readonly fetchReport: (
    address: string,
    timeoutMs: number,
  ) => Promise<Result<RevisionReport, Failure>>;
}

interface Confirmation {
  readonly confirmed: number;
  /** When the last of them had it in force, milliseconds after the begin. */
  readonly lastMs: number;
  /** Who has not confirmed, with what it said last. */
  readonly missing: readonly { readonly instance: InstanceRecord; readonly reason: string }[];
}

const POLL_INTERVAL_MS = 100;
const ANSWER_LIMIT_MS = 1000;
/** Rounds after the limit for answers that leave open whether the revision came in time. */
const MAX_LATE_ROUNDS = 4;

/**
 * Asks every instance until each has `revision` in force or the time is over. An instance says for
 * how long the revision has been in force, so each is asked at least once even where asking a
 * large fleet takes longer than the limit.
 */
export async function confirmInForce(options: ConfirmOptions): Promise<Confirmation> {
  const { service, revision, instances, clock, limitMs, sleep, fetchReport } = options;
  const startedAt = clock.getNow();
  const getElapsedMs = (): number => clock.getNow() - startedAt;
  const reasons = new Map<InstanceRecord, string>();
  for (const instance of instances) reasons.set(instance, 'not asked');
  let lastMs = 0;
  let unclear = 0;
  let lateRounds = 0;
  const ask = async (instance: InstanceRecord): Promise<void> => {
    const sentMs = getElapsedMs();
    const answer = await fetchReport(instance.address, ANSWER_LIMIT_MS);
    if (answer.err) {
      reasons.set(instance, `no answer at ${instance.address}`);
      return;
    }
    const known = answer.val.revisions.get(service);
    if (known === undefined || known.revision < revision) {
      const shown = known === undefined ? 'does not know it' : `at revision ${known.revision}`;
      reasons.set(instance, shown);
      return;
    }
    // A still newer revision says nothing about when this one came. The answer was made somewhere
    // between sending and now, so the time in force is known only within that span.
    const isNewer = known.revision > revision;
    const earliestMs = isNewer ? 0 : sentMs - known.inForceMs;
    const latestMs = isNewer ? 0 : getElapsedMs() - known.inForceMs;
    if (latestMs <= limitMs) {
      reasons.delete(instance);
      lastMs = Math.max(lastMs, latestMs);
    } else {
      if (earliestMs <= limitMs) unclear += 1;
      reasons.set(instance, `in force only after ${Math.round(latestMs)} ms`);
    }
  };
  while (true) {
    unclear = 0;
    await runParallel([...reasons.keys()], ask);
    const isOver = getElapsedMs() + POLL_INTERVAL_MS >= limitMs;
    if (isOver) lateRounds += 1;
    if (reasons.size === 0 || (isOver && (unclear === 0 || lateRounds >= MAX_LATE_ROUNDS))) {
      const missing = [...reasons].map(([instance, reason]) => ({ instance, reason }));
      return { confirmed: instances.length - missing.length, lastMs, missing };
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
