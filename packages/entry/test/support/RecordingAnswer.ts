import type { CallerAnswer } from '@limpetbay/callers';
import type { Failure } from '@limpetbay/core';

/** Records the answer to a caller. */
export class RecordingAnswer implements CallerAnswer {
  text = '';

  failure: Failure | null = null;

  hasEnded = false;

  #isStarted = false;

  start(): void {
    this.#isStarted = true;
  }

  write(data: Uint8Array): boolean {
    this.text += Buffer.from(data).toString('utf8');
    return true;
  }

  end(): void {
    this.hasEnded = true;
  }

  fail(failure: Failure): void {
    this.failure = failure;
    this.hasEnded = true;
  }

  isStarted(): boolean {
    return this.#isStarted;
  }
}
