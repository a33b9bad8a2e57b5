/** Lets reads that take long run one after the other, so that others can run in between. */
export class ReadQueue {
  readonly #waiting = new Set<() => void>();

  /** Runs an action once, later. */
  readonly #schedule: (run: () => void) => void;

  #isScheduled = false;

  /** @param schedule runs an action once, when the next read is due */
  constructor(schedule: (run: () => void) => void) {
    this.#schedule = schedule;
  }

  /** Adds a read; one that waits already keeps its place. */
  add(read: () => void): void {
    this.#waiting.add(read);
    this.#scheduleNext();
  }

  /** Removes a read that is not needed any more, so that nothing it refers to is kept. */
  remove(read: () => void): void {
    this.#waiting.delete(read);
  }

  #scheduleNext(): void {
    if (this.#isScheduled || this.#waiting.size === 0) return;
    this.#isScheduled = true;
    this.#schedule(() => {
      this.#isScheduled = false;
      this.#runNext();
      this.#scheduleNext();
    });
  }

  #runNext(): void {
    const [read] = this.#waiting;
    if (read === undefined) return;
    this.#waiting.delete(read);
    read();
  }
}
