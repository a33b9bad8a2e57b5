import type { EventQueue } from './EventQueue.js';

/** A process that can be paused, and lost and started again. Work of a lost life never runs. */
export class SimProcess {
  readonly #queue: EventQueue;

  #life = 1;

  #isPaused = false;

  #isUp = true;

  #backlog: (() => void)[] = [];

  constructor(queue: EventQueue) {
    this.#queue = queue;
  }

  getLife(): number {
    return this.#life;
  }

  isUp(life = this.#life): boolean {
    return this.#isUp && life === this.#life;
  }

  isPaused(): boolean {
    return this.#isPaused;
  }

  /** Runs an action after a delay, in this life only. */
  schedule(delayMs: number, action: () => void): void {
    const life = this.#life;
    this.#queue.schedule(delayMs, () => this.run(life, action));
  }

  /** Runs an action in a life of this process: now, after its pause, or never. */
  run(life: number, action: () => void): void {
    if (!this.isUp(life)) return;
    if (this.#isPaused) this.#backlog.push(action);
    else action();
  }

  waitForResume(): void {
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
    this.#life += 1;
    this.#isUp = true;
  }
}
