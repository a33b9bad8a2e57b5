import type { DirectTarget, RandomSource } from '@limpetbay/core';
import type { MemoryStore } from '@limpetbay/standins';
import { describeState } from './describeState.js';
import { buildSimAddress } from './buildSimAddress.js';
import { simLayout } from './simLayout.js';

/** How often the operator compares what is stored with what was written, milliseconds. */
const OPERATOR_INTERVAL_MS = 500;

const HEARTBEAT_MS = 1200;

/** A registration lapses after three heartbeats. */
const REGISTRATION_MS = 3600;

const CONFIG = {
  routes: [],
  services: [],
  workspaces: null,
  idleTimeoutMs: 10_000,
  headTimeoutMs: 5000,
  maxBodyBytes: 100_000,
};

/**
 * The operator and the targets of a deployment. They write again what the store has lost, each with
 * its next look at it.
 */
export class SimWriters {
  readonly #store: MemoryStore;

  readonly #random: RandomSource;

  readonly #evacuated = new Set<string>();

  readonly #targets = new Map<string, DirectTarget>();

  #version = 1;

  #bornMs = 0;

  constructor(store: MemoryStore, random: RandomSource) {
    this.#store = store;
    this.#random = random;
    const look = (): void => {
      void this.#writeAgain();
      setTimeout(look, OPERATOR_INTERVAL_MS * (1 / 2 + random.next()));
    };
    look();
  }

  changeConfig(): void {
    this.#version += 1;
    void this.#writeAgain();
  }

  toggleEvacuation(zone: string): void {
    if (!this.#evacuated.delete(zone)) this.#evacuated.add(zone);
    void this.#writeAgain();
  }

  startTarget(id: string): void {
    if (this.#targets.has(id)) return;
    this.#bornMs += 1;
    this.#targets.set(id, {
      id,
      service: 's',
      address: buildSimAddress(id, 80),
      zone: 'a',
      capacity: 4,
      isDraining: false,
      coldLeftMs: 0,
      bornMs: this.#bornMs,
    });
    void this.#register(id, this.#bornMs, null);
  }

  drainTarget(id: string): void {
    const target = this.#targets.get(id);
    if (target === undefined) return;
    this.#targets.set(id, { ...target, isDraining: true });
    void this.#register(id, target.bornMs, null);
  }

  /** Ends a target without a farewell; its registration lapses. */
  endTarget(id: string): void {
    this.#targets.delete(id);
  }

  /** Removes the registration of a target that leaves without draining. */
  removeTarget(id: string): void {
    if (!this.#targets.delete(id)) return;
    const writes = [{ key: `${simLayout.targetPrefix}${id}`, value: null }];
    void this.#store.commit({ conditions: [], writes });
  }

  /** Lists the targets that run and do not drain. */
  listServing(): DirectTarget[] {
    return [...this.#targets.values()].filter(({ isDraining }) => !isDraining);
  }

  describe(): string {
    return describeState(this.#version, this.#evacuated, [...this.#targets.values()]);
  }

  async #writeAgain(): Promise<void> {
    const stored = new Map<string, string>();
    for (const { key, value } of this.#store.listRecords()) stored.set(key, value);
    const { configKey, evacuationPrefix } = simLayout;
    const config = JSON.stringify({ version: this.#version, ...CONFIG });
    const writes: { key: string; value: string | null }[] = [];
    if (stored.get(configKey) !== config) writes.push({ key: configKey, value: config });
    for (const zone of ['a', 'b']) {
      const key = `${evacuationPrefix}${zone}`;
      const value = this.#evacuated.has(zone) ? '{}' : null;
      if ((stored.get(key) ?? null) !== value) writes.push({ key, value });
    }
    for (const write of writes) await this.#store.commit({ conditions: [], writes: [write] });
  }

  /** Keeps the registration of a target that runs. @param lease null before the first write */
  async #register(id: string, bornMs: number, lease: string | null): Promise<void> {
    const target = this.#targets.get(id);
    if (target?.bornMs !== bornMs) return;
    const key = `${simLayout.targetPrefix}${id}`;
    const value = JSON.stringify(target);
    const renewed = lease !== null && (await this.#store.renewLease(lease)).ok;
    let current = renewed ? lease : null;
    const [record] = this.#store.listRecords(key);
    if (current === null || record?.value !== value) {
      const granted = await this.#store.grantLease(REGISTRATION_MS);
      current = granted.ok ? granted.val.lease : null;
      if (current !== null) {
        await this.#store.commit({ conditions: [], writes: [{ key, value, lease: current }] });
      }
    }
    const delayMs = HEARTBEAT_MS * (0.9 + this.#random.next() / 5);
    setTimeout(() => {
      if (this.#targets.get(id) === target) void this.#register(id, bornMs, current);
    }, delayMs);
  }
}
