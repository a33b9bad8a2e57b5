import { RetryBudget, type Clock } from '@limpetbay/core';

interface RetryShare {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed at once. */
  readonly burst: number;
}

interface ServiceBudget {
  readonly budget: RetryBudget;
  usedMs: number;
}

/** A service that was removed may return with what it had; after this time it is forgotten. */
const RETENTION_MS = 60_000;

/** The retry budget of each service at one entry. */
export class RetryBudgets {
  readonly #clock: Clock;

  readonly #computeShare: () => RetryShare;

  readonly #services = new Map<string, ServiceBudget>();

  /** @param computeShare returns the share of this entry in the retries of a service */
  constructor(clock: Clock, computeShare: () => RetryShare) {
    this.#clock = clock;
    this.#computeShare = computeShare;
  }

  get(service: string): RetryBudget {
    const usedMs = this.#clock.getNow();
    const known = this.#services.get(service);
    if (known !== undefined) {
      known.usedMs = usedMs;
      return known.budget;
    }
    const { ratio, burst } = this.#computeShare();
    const budget = new RetryBudget(ratio, burst);
    this.#services.set(service, { budget, usedMs });
    return budget;
  }

  /** Applies a change of the share. */
  updateShare(): void {
    const { ratio, burst } = this.#computeShare();
    for (const { budget } of this.#services.values()) budget.setLimits(ratio, burst);
  }

  /** Forgets services that were removed. @param isConfigured whether a service exists */
  expire(isConfigured: (service: string) => boolean): void {
    const sinceMs = this.#clock.getNow() - RETENTION_MS;
    for (const [service, { usedMs }] of this.#services) {
      if (usedMs < sinceMs && !isConfigured(service)) this.#services.delete(service);
    }
  }

  /** Returns the number of services in memory. */
  count(): number {
    return this.#services.size;
  }
}
