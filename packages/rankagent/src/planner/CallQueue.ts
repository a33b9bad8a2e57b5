/**
 * Calls that run at the same time. Each may carry a whole map, and all of them together must pass a
 * slow link well within the timeout of a call.
 */
const MAX_RUNNING = 4;

/** Runs a few calls at a time; the others wait in order. */
export class CallQueue {
  #running = 0;

  readonly #waiting: (() => void)[] = [];

  async run<Value>(call: () => Promise<Value>): Promise<Value> {
    if (this.#running >= MAX_RUNNING) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    this.#running += 1;
    try {
      return await call();
    } finally {
      this.#running -= 1;
      this.#waiting.shift()?.();
    }
  }
}
