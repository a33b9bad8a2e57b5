import type { ServerResponse } from 'node:http';

/** The answers of a server that are not complete, or not yet handed to the operating system. */
export class OpenAnswers {
  readonly #responses = new Set<ServerResponse>();

  #onWritten: (() => void) | null = null;

  add(response: ServerResponse): void {
    this.#responses.add(response);
    response.on('close', () => {
      this.#responses.delete(response);
      this.#checkWritten();
    });
  }

  count(): number {
    return this.#responses.size;
  }

  /**
   * Calls a function once no answer that has ended still waits to be written. Node counts the
   * connection of such an answer as idle, so closing idle connections would cut it.
   */
  callWhenWritten(onWritten: () => void): void {
    this.#onWritten = onWritten;
    this.#checkWritten();
  }

  #checkWritten(): void {
    const onWritten = this.#onWritten;
    if (onWritten === null) return;
    for (const response of this.#responses) if (response.writableEnded) return;
    this.#onWritten = null;
    onWritten();
  }
}
