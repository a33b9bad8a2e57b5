import { EntryDirectory, TargetRegistry, type Clock, type RandomSource } from '@limpetbay/core';
import { IgnoredRecordLog, MetricRegistry } from '@limpetbay/runtime';
import type { MemoryStore } from '@limpetbay/standins';
import { RealTimers } from '../../src/index.js';
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

/** What one entry takes from the store, with what it has confirmed before. */
export class SimView {
  readonly link: SimStoreLink;

  readonly registry: TargetRegistry;

  readonly #view: GatewayView;

  #evacuated: ReadonlySet<string> = new Set();

  readonly #drained = new Set<string>();

  #version = 0;

  constructor(clock: Clock, random: RandomSource, store: MemoryStore) {
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
      listener: this.#view,
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

  /** Describes the state, comparable with that of the writers. */
  describe(): string {
    return describeState(this.getVersion(), this.#evacuated, this.registry.listAll());
  }
}
