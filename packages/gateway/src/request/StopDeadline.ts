/** When the requests of an entry must be answered, because the entry stops. */
export class StopDeadline {
  readonly #listeners = new Set<() => void>();

  #atMs = Infinity;

  /** Monotonic milliseconds; infinite unless the entry stops. */
  getMs(): number {
    return this.#atMs;
  }

  /** Sets the deadline and notifies the requests in progress. @param atMs monotonic milliseconds */
  set(atMs: number): void {
    this.#atMs = atMs;
    for (const listener of [...this.#listeners]) listener();
  }

  /** @returns a function that ends the subscription */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
