import type { DirectTarget } from '@limpetbay/core';
import type { Log } from '@limpetbay/runtime';

interface SharedTargetLimitsOptions {
  readonly log: Log;
}

/** The limits that targets name in their answers. */
export class SharedTargetLimits {
  readonly #options: SharedTargetLimitsOptions;

  /** Requests a second by target. */
  readonly #limits = new Map<string, number>();

  constructor(options: SharedTargetLimitsOptions) {
    this.#options = options;
  }

  /** Handles what an answer says. @param perSecond null where it names no limit */
  handleAnswer(target: DirectTarget, perSecond: number | null | 'invalid'): void {
    const known = this.#limits.get(target.id) ?? null;
    if (perSecond === known) return;
    if (perSecond === 'invalid') {
      this.#options.log.warn('invalid limit in an answer ignored', { target: target.id });
      return;
    }
    this.#options.log.report('target changed its limit', {
      target: target.id,
      perSecond,
      was: known,
    });
    if (perSecond === null) this.#limits.delete(target.id);
    else this.#limits.set(target.id, perSecond);
  }
}
