import type { Clock, Failure, InstanceRecord, Result } from '@limpetbay/core';
import type { RevisionReport } from '@limpetbay/rpc';
import { runParallel } from '../parallel/runParallel.js';

interface ConfirmOptions {
  readonly service: string;
  readonly revision: number;
  readonly instances: readonly InstanceRecord[];
  readonly clock: Clock;
  /** Longest wait for all, milliseconds. */
  readonly limitMs: number;
  readonly sleep: (delayMs: number) => Promise<void>;
  readonly fetchReport: (
    address: string,
    timeoutMs: number,
  ) => Promise<Result<RevisionReport, Failure>>;
}

interface Confirmation {
  readonly confirmed: number;
  readonly elapsedMs: number;
  /** Who has not confirmed, with what it said last. */
  readonly missing: readonly { readonly instance: InstanceRecord; readonly reason: string }[];
}

const POLL_INTERVAL_MS = 100;
const ANSWER_LIMIT_MS = 1000;
const MIN_ANSWER_MS = 50;

/** Asks every instance until each has `revision` in force or the time is over. */
export async function confirmInForce(options: ConfirmOptions): Promise<Confirmation> {
  const { service, revision, instances, clock, limitMs, sleep, fetchReport } = options;
  const startedAt = clock.getNow();
  const reasons = new Map<InstanceRecord, string>();
  for (const instance of instances) reasons.set(instance, 'not asked in time');
  const ask = async (instance: InstanceRecord): Promise<void> => {
    const leftMs = limitMs - (clock.getNow() - startedAt);
    if (leftMs <= 0) return;
    const timeoutMs = Math.max(MIN_ANSWER_MS, Math.min(ANSWER_LIMIT_MS, leftMs));
    const answer = await fetchReport(instance.address, timeoutMs);
    if (answer.err) {
      reasons.set(instance, `no answer at ${instance.address}`);
      return;
    }
    const known = answer.val.revisions.get(service)?.revision;
    if (known !== undefined && known >= revision) reasons.delete(instance);
    else reasons.set(instance, known === undefined ? 'does not know it' : `at revision ${known}`);
  };
  while (true) {
    await runParallel([...reasons.keys()], ask);
    const elapsedMs = clock.getNow() - startedAt;
    if (reasons.size === 0 || elapsedMs + POLL_INTERVAL_MS >= limitMs) {
      const missing = [...reasons].map(([instance, reason]) => ({ instance, reason }));
      return { confirmed: instances.length - missing.length, elapsedMs, missing };
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
