import {
  Era,
  Ok,
  Revision,
  fail,
  servicePrefix,
  type ConfigPorts,
  type RandomSource,
  type StoreRecord,
  type StoreWatchListener,
} from '@limpetbay/core';
import type { Timeline } from './Timeline.js';

interface Watcher {
  readonly listener: StoreWatchListener;
  isSilent: boolean;
  lastHeardAt: number;
}

const PROGRESS_MS = 500;
/** The silence limit of the store client. */
const SILENCE_MS = 2000;
const ERA = Era.parse('1');

const MIN_LATENCY_MS = 1;
const MAX_LATENCY_MS = 4;
const MS_PER_SECOND = 1000;

/** The documents of the store as the configuration logic reaches it, with its calls by second. */
export class SimulatedStore {
  readonly #timeline: Timeline;

  readonly #random: RandomSource;

  readonly #records = new Map<string, StoreRecord>();

  readonly #history: StoreRecord[] = [];

  readonly #watchers = new Set<Watcher>();

  readonly #calls: number[] = [];

  #revision = 1;

  #compacted = 0;

  #outage = false;

  #maxLatencyMs = MAX_LATENCY_MS;

  constructor(timeline: Timeline, random: RandomSource) {
    this.#timeline = timeline;
    this.#random = random;
    this.#sendProgress();
  }

  /** Writes a document as an accept does: one read and one transaction. @returns its revision */
  write(name: string, value: string): number {
    this.#count();
    this.#count();
    this.#revision += 1;
    const key = `${servicePrefix}${name}`;
    const record = { key, value, revision: Revision.parse(this.#revision) };
    this.#records.set(key, record);
    this.#history.push(record);
    for (const watcher of this.#watchers) this.#deliver(watcher, record);
    return this.#revision;
  }

  /** Sets the largest delay of answers and watch events. */
  setLatency(maxLatencyMs: number): void {
    this.#maxLatencyMs = maxLatencyMs;
  }

  /** Begins or ends an outage; open watches fail. */
  setOutage(outage: boolean): void {
    this.#outage = outage;
    if (!outage) return;
    for (const watcher of [...this.#watchers]) this.#end(watcher, 'failed');
  }

  /** Lets every `step`-th open watch go silent without an end, beginning with the one at `first`. */
  stopWatches(first: number, step: number): void {
    for (const [index, watcher] of [...this.#watchers].entries()) {
      if (index % step === first) watcher.isSilent = true;
    }
  }

  /** Ends every `step`-th open watch with lost revisions, beginning with the one at `first`. */
  endWatches(first: number, step: number): void {
    this.#compacted = this.#revision;
    this.#history.length = 0;
    for (const [index, watcher] of [...this.#watchers].entries()) {
      if (index % step === first) this.#end(watcher, 'gap');
    }
  }

  countWatches(): number {
    return this.#watchers.size;
  }

  /** Counts the calls of a time span. */
  countCalls(fromMs: number, toMs: number): number {
    let calls = 0;
    for (const at of this.#calls) if (at >= fromMs && at < toMs) calls += 1;
    return calls;
  }

  /** Returns the most calls in any span of one second that begins at or after `fromMs`. */
  getPeakCalls(fromMs: number): number {
    const calls = this.#calls.filter((at) => at >= fromMs);
    let peak = 0;
    let first = 0;
    for (const [last, at] of calls.entries()) {
      while (at - (calls[first] as number) >= MS_PER_SECOND) first += 1;
      peak = Math.max(peak, last - first + 1);
    }
    return peak;
  }

  readonly readDocuments: ConfigPorts['readDocuments'] = (respond) => {
    this.#timeline.schedule(this.#pickLatency(), () => {
      this.#count();
      const isDown = this.#outage;
      const records = [...this.#records.values()];
      const position = { era: ERA, revision: Revision.parse(this.#revision) };
      this.#timeline.schedule(this.#pickLatency(), () => {
        respond(isDown ? fail('store_unavailable', 'outage') : Ok({ records, ...position }));
      });
    });
  };

  readonly watchDocuments: ConfigPorts['watchDocuments'] = (
    { revision: fromRevision },
    listener,
  ) => {
    const now = this.#timeline.clock.getNow();
    const watcher: Watcher = { listener, isSilent: false, lastHeardAt: now };
    this.#timeline.schedule(this.#pickLatency(), () => {
      this.#count();
      if (this.#outage) listener.onEnd('failed');
      else if (fromRevision <= this.#compacted) listener.onEnd('gap');
      else {
        this.#watchers.add(watcher);
        for (const record of this.#history) {
          if (record.revision >= fromRevision) this.#deliver(watcher, record);
        }
        this.#confirm(watcher);
      }
    });
    return () => this.#watchers.delete(watcher);
  };

  #count(): void {
    this.#calls.push(this.#timeline.clock.getNow());
  }

  #pickLatency(): number {
    const spread = this.#maxLatencyMs - MIN_LATENCY_MS;
    return MIN_LATENCY_MS + this.#random.next() * spread;
  }

  #end(watcher: Watcher, reason: 'gap' | 'failed'): void {
    this.#watchers.delete(watcher);
    this.#timeline.schedule(MIN_LATENCY_MS, () => watcher.listener.onEnd(reason));
  }

  #deliver(watcher: Watcher, record: StoreRecord): void {
    this.#timeline.schedule(this.#maxLatencyMs, () => {
      if (watcher.isSilent || !this.#watchers.has(watcher)) return;
      watcher.listener.onChange(record);
    });
  }

  /** Events and confirmations of one watch take the same time, so that they stay in order. */
  #confirm(watcher: Watcher): void {
    const revision = Revision.parse(this.#revision);
    this.#timeline.schedule(this.#maxLatencyMs, () => {
      if (!this.#watchers.has(watcher)) return;
      const now = this.#timeline.clock.getNow();
      const target = watcher;
      if (!watcher.isSilent) {
        target.lastHeardAt = now;
        watcher.listener.onProgress(revision);
      } else if (now - watcher.lastHeardAt >= SILENCE_MS) this.#end(watcher, 'failed');
    });
  }

  #sendProgress(): void {
    for (const watcher of this.#watchers) this.#confirm(watcher);
    this.#timeline.schedule(PROGRESS_MS, () => this.#sendProgress());
  }
}
