import { EntryDirectory, TargetRegistry, type Clock, type RandomSource } from '@limpetbay/core';
import { IgnoredRecordLog, MetricRegistry } from '@limpetbay/runtime';
import type { MemoryStore } from '@limpetbay/standins';
import { RealTimers, type MirrorSnapshot } from '../../src/index.js';
import { GatewayView } from '../../src/feed/GatewayView.js';
import { ObservedStore } from '../../src/feed/ObservedStore.js';
import { StoreContact } from '../../src/feed/StoreContact.js';
import { StoreMirror } from '../../src/feed/StoreMirror.js';
import { SimStoreLink } from './SimStoreLink.js';
import { describeState } from './describeState.js';
import { simLayout } from './simLayout.js';

const NOOP_LOG = { report: () => {}, warn: () => {}, alert: () => {} };

const NOOP_RECORDS = {
  handleSnapshot: () => {},
  handleRecord: () => {},
  handleRemoval: () => {},
};

const EXPIRE_INTERVAL_MS = 100;

const DRAIN_MS = 2000;

function readTargetId(key: string): string {
  return key.startsWith(simLayout.targetPrefix) ? key.slice(simLayout.targetPrefix.length) : '';
}

/** What one entry takes from the store, with what it has confirmed before. */
export class SimView {
  readonly link: SimStoreLink;

  readonly registry: TargetRegistry;

  readonly #view: GatewayView;

  #evacuated: ReadonlySet<string> = new Set();

  readonly #drained = new Set<string>();

  #version = 0;

  /** When this view learned that the store has no registration of a target, by its id. */
  readonly #goneSinceMs = new Map<string, number>();

  readonly #clock: Clock;

  constructor(clock: Clock, random: RandomSource, store: MemoryStore) {
    this.#clock = clock;
    this.link = new SimStoreLink(store);
    this.registry = new TargetRegistry(clock, () => DRAIN_MS);
    const metrics = new MetricRegistry();
    this.#view = new GatewayView({
      clock,
      log: NOOP_LOG,
      ignored: new IgnoredRecordLog({
        clock,
        log: NOOP_LOG,
        metrics,
        component: 'view',
      }),
      layout: simLayout,
      registry: this.registry,
      entries: new EntryDirectory(clock),
      picker: {
        setEvacuated: (zones: ReadonlySet<string>) => {
          this.#evacuated = zones;
        },
      } as never,
      suspects: NOOP_RECORDS as never,
      limits: NOOP_RECORDS as never,
      onConfig: () => {},
    });
    const timers = new RealTimers();
    const contact = new StoreContact({
      clock,
      log: NOOP_LOG,
      metrics,
      onChange: (isUnavailable) => this.#view.handleStoreAvailability(isUnavailable),
    });
    const mirror = new StoreMirror({
      clock,
      store: new ObservedStore(this.link, contact, metrics),
      prefix: '',
      checkKey: 'check',
      listener: {
        onSnapshot: (snapshot) => {
          this.#view.onSnapshot(snapshot);
          this.#recordSnapshot(snapshot);
        },
        onRecord: (record) => {
          this.#view.onRecord(record);
          this.#goneSinceMs.delete(readTargetId(record.key));
        },
        onRemoval: (key) => {
          this.#view.onRemoval(key);
          this.#recordGone(readTargetId(key));
        },
      },
      timers,
      random,
      log: NOOP_LOG,
      countMirrors: () => 1,
    });
    mirror.start();
    const expire = (): void => {
      contact.advance();
      this.#view.expire();
      timers.schedule(EXPIRE_INTERVAL_MS, expire);
    };
    expire();
  }

  getVersion(): number {
    return this.#view.getTable()?.config.version ?? 0;
  }

  isEvacuated(zone: string): boolean {
    return this.#evacuated.has(zone);
  }

  /** Lists what went back since the last call: versions, and targets that were draining. */
  listReversals(): string[] {
    const reversals: string[] = [];
    const version = this.getVersion();
    if (version < this.#version) reversals.push(`version ${this.#version} -> ${version}`);
    this.#version = version;
    for (const target of this.registry.listAll()) {
      const run = `${target.id}/${target.bornMs}`;
      if (target.isDraining) this.#drained.add(run);
      else if (this.#drained.has(run)) reversals.push(`${run} is in use after it was draining`);
    }
    return reversals;
  }

  /** Returns whether a run of a target may get requests. */
  isInUse(id: string, bornMs: number): boolean {
    const target = this.registry.get(id);
    return target?.bornMs === bornMs && !target.isDraining;
  }

  /** Lists the targets in use for at least this time after this view learned that they are gone. */
  listUsedAfterRemoval(ms: number): string[] {
    const ids = this.registry.listAll().map(({ id }) => id);
    const nowMs = this.#clock.getNow();
    return ids.filter((id) => nowMs - (this.#goneSinceMs.get(id) ?? Infinity) >= ms);
  }

  #recordSnapshot({ records, isRestored }: MirrorSnapshot): void {
    const present = new Set(records.map(({ key }) => readTargetId(key)));
    for (const id of [...this.#goneSinceMs.keys()]) {
      if (present.has(id)) this.#goneSinceMs.delete(id);
    }
    // What a copy of the store lacks was not removed.
    if (isRestored) return;
    for (const { id } of this.registry.listAll()) if (!present.has(id)) this.#recordGone(id);
  }

  #recordGone(id: string): void {
    if (!this.#goneSinceMs.has(id)) this.#goneSinceMs.set(id, this.#clock.getNow());
  }

  /** Describes the state, comparable with that of the writers. */
  describe(): string {
    return describeState(this.getVersion(), this.#evacuated, this.registry.listAll());
  }
}
