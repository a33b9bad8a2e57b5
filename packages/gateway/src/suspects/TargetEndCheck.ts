import type { Clock, DirectTarget } from '@limpetbay/core';
import type { Log } from '@limpetbay/runtime';
import type { EntryNetwork } from '../ports/EntryNetwork.js';

interface TargetEndCheckOptions {
  readonly clock: Clock;
  readonly network: Pick<EntryNetwork, 'checkListener'>;
  readonly log: Log;
}

interface Check {
  readonly startMs: number;
  readonly result: Promise<boolean>;
}

/** The host of a target that ended rejects connections at once. */
const CHECK_TIMEOUT_MS = 300;

/** The requests that one end breaks off share a check; targets take longer to restart. */
const REUSE_MS = 500;

/**
 * Finds out why requests broke off: because their target ended, or because connections to a target
 * that is still running were reset.
 */
export class TargetEndCheck {
  readonly #options: TargetEndCheckOptions;

  readonly #checks = new Map<string, Check>();

  constructor(options: TargetEndCheckOptions) {
    this.#options = options;
  }

  /** Returns whether the target has ended. */
  hasEnded(target: DirectTarget): Promise<boolean> {
    const nowMs = this.#options.clock.getNow();
    for (const [id, { startMs }] of this.#checks) {
      if (nowMs - startMs > REUSE_MS) this.#checks.delete(id);
    }
    const recent = this.#checks.get(target.id);
    if (recent !== undefined) return recent.result;
    const result = this.#check(target);
    this.#checks.set(target.id, { startMs: nowMs, result });
    return result;
  }

  async #check(target: DirectTarget): Promise<boolean> {
    const { network, log } = this.#options;
    const state = await network.checkListener(target.address, CHECK_TIMEOUT_MS);
    log.report('checked a target that broke off requests', { target: target.id, listener: state });
    return state === 'refused';
  }
}
