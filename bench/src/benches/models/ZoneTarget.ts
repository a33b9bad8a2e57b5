import type { ErrorKind, LoadReport, RandomSource, TargetId, Zone } from '@limpetbay/core';
import { Incarnation } from '@limpetbay/core';
import type { EventQueue } from './EventQueue.js';

/** What an entry hears from a target. Nothing arrives from a target that is unreachable. */
interface AttemptListener {
  acceptFrame(load: LoadReport | null): void;
  refuse(kind: ErrorKind, load: LoadReport): void;
  end(load: LoadReport): void;
}

const FULL_LIMIT = 32;
const QUEUE = 64;
const PROGRESS_MS = 1000;
const RAMP_FACTOR = 1.5;
const RAMP_INTERVAL_MS = 1000;

/** A target and its agent: a bounded number of slots, a queue, a ramp after a restart. */
export class ZoneTarget {
  readonly id: TargetId;

  readonly zone: Zone;

  readonly #queue: EventQueue;

  readonly #random: RandomSource;

  readonly #meanMs: number;

  #isReachable = true;

  #incarnation = 1;

  #limit = FULL_LIMIT;

  #running = 0;

  #usedFully = false;

  #waiting: (() => void)[] = [];

  /** Attempts that reached the agent while it was reachable. */
  received = 0;

  constructor(id: TargetId, zone: Zone, queue: EventQueue, random: RandomSource, meanMs: number) {
    this.id = id;
    this.zone = zone;
    this.#queue = queue;
    this.#random = random;
    this.#meanMs = meanMs;
  }

  /** Loses power: everything in progress is gone and nothing answers. */
  stop(): void {
    this.#isReachable = false;
    this.#incarnation += 1;
    this.#running = 0;
    this.#waiting = [];
  }

  /** Comes back cold and ramps. */
  restart(): void {
    this.#isReachable = true;
    this.#limit = 1;
    this.#usedFully = false;
    this.#queue.add(RAMP_INTERVAL_MS, () => this.#growLimit());
  }

  createReport(): LoadReport {
    const excess = this.#waiting.length / this.#limit;
    return {
      target: this.id,
      incarnation: Incarnation.parse(this.#incarnation),
      state: 'serving',
      inFlight: this.#running,
      limit: this.#limit,
      queued: this.#waiting.length,
      queueDelayMs: excess * this.#meanMs,
      stepTimeMs: 30,
      tokensInFlight: this.#running * 800,
      queuedPromptTokens: this.#waiting.length * 500,
      kvFree: 0.5,
      configRevision: 1,
    };
  }

  accept(incarnation: number, listener: AttemptListener): void {
    if (!this.#isReachable) return;
    this.received += 1;
    if (incarnation !== 0 && incarnation !== this.#incarnation) {
      listener.refuse('stale_incarnation', this.createReport());
      return;
    }
    const isCold = this.#limit < FULL_LIMIT;
    if (this.#running >= this.#limit) {
      this.#usedFully = true;
      if (isCold || this.#waiting.length >= QUEUE) {
        listener.refuse(isCold ? 'target_cold' : 'overloaded', this.createReport());
        return;
      }
      this.#waiting.push(() => this.#start(listener));
    } else {
      this.#start(listener);
    }
    listener.acceptFrame(this.createReport());
    this.#sendProgress(this.#incarnation, listener);
  }

  #start(listener: AttemptListener): void {
    this.#running += 1;
    const incarnation = this.#incarnation;
    const timeMs = this.#meanMs * (0.4 - 0.6 * Math.log(1 - this.#random.next()));
    this.#queue.add(timeMs, () => {
      if (incarnation !== this.#incarnation) return;
      this.#running -= 1;
      this.#waiting.shift()?.();
      listener.end(this.createReport());
    });
  }

  /** The listener ignores progress after its end. */
  #sendProgress(incarnation: number, listener: AttemptListener): void {
    this.#queue.add(PROGRESS_MS, () => {
      if (incarnation !== this.#incarnation || !this.#isReachable) return;
      listener.acceptFrame(null);
      if (this.#running > 0) this.#sendProgress(incarnation, listener);
    });
  }

  #growLimit(): void {
    if (!this.#isReachable) return;
    if (this.#usedFully) this.#limit = Math.min(FULL_LIMIT, Math.ceil(this.#limit * RAMP_FACTOR));
    this.#usedFully = this.#running >= this.#limit;
    if (this.#limit < FULL_LIMIT) this.#queue.add(RAMP_INTERVAL_MS, () => this.#growLimit());
  }
}
