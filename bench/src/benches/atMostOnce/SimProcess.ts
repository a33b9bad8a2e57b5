import type { EventQueue } from './EventQueue.js';

/**
 * A process that can be paused, or stopped and started again. Each start begins an incarnation; work
 * scheduled in an earlier one never runs.
 */
export class SimProcess {
  readonly #queue: EventQueue;

  #incarnation = 1;

  #isPaused = false;

  #isUp = true;

  #backlog: (() => void)[] = [];

  constructor(queue: EventQueue) {
    this.#queue = queue;
  }

  getIncarnation(): number {
    return this.#incarnation;
  }

  isUp(incarnation = this.#incarnation): boolean {
    return this.#isUp && incarnation === this.#incarnation;
  }

  isPaused(): boolean {
    return this.#isPaused;
  }

  /** Runs an action after a delay, unless the current incarnation has ended by then. */
  schedule(delayMs: number, action: () => void): void {
    const incarnation = this.#incarnation;
    this.#queue.schedule(delayMs, () => this.run(incarnation, action));
  }

  /** Runs an action now, after the pause, or never if the incarnation has ended. */
  run(incarnation: number, action: () => void): void {
    if (!this.isUp(incarnation)) return;
    if (this.#isPaused) this.#backlog.push(action);
    else action();
  }

  /** Pauses the process: its actions are queued until `resume`. */
  suspend(): void {
    this.#isPaused = true;
  }

  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    const backlog = this.#backlog;
    this.#backlog = [];
    for (const action of backlog) action();
  }

  stop(): void {
    this.#isUp = false;
    this.#isPaused = false;
    this.#backlog = [];
  }

  start(): void {
    this.#incarnation += 1;
    this.#isUp = true;
  }
}
