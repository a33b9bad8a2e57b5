import type { EventEmitter } from 'node:events';
import type { Writable } from 'node:stream';
import type { Log } from '../log/Log.js';
import { waitUntil } from './waitUntil.js';

interface ProcessEndOptions {
  readonly log: Log;
  /** Standard output and standard error. */
  readonly streams: readonly Pick<Writable, 'writableLength' | 'destroyed'>[];
  /** Emits `exit` with the status; the global `process` outside of tests. */
  readonly events: EventEmitter;
  /** Ends the process with a status. */
  readonly exit: (status: number) => void;
}

/**
 * Time in which a reader may take the last lines, milliseconds. A planned stop ends 400 ms before
 * its grace period does.
 */
const MAX_FLUSH_MS = 200;

/** Statuses with which Node.js ends a process by itself. */
const nodeCauses: Readonly<Record<number, string>> = {
  0: 'no work was left',
  13: 'the start waits for an event that cannot occur',
};

/**
 * Ends a process with a last log line, `process ended`, which names the status and the cause. Also
 * ends that do not go through `finish` have the line.
 */
export class ProcessEnd {
  readonly #options: ProcessEndOptions;

  readonly #startMs = performance.now();

  #isLogged = false;

  constructor(options: ProcessEndOptions) {
    this.#options = options;
    options.events.once('exit', (status: number) => {
      // Node.js finds out that a start waits for nothing after it has chosen the argument.
      const finalStatus = Number(process.exitCode ?? status);
      this.#report(finalStatus, nodeCauses[finalStatus] ?? 'the program called exit');
    });
  }

  /** Logs the cause and ends the process when its lines were read, at most 200 ms later. */
  async finish(status: number, cause: string): Promise<void> {
    if (this.#isLogged) return;
    this.#report(status, cause);
    const { streams, exit } = this.#options;
    await waitUntil(
      () => streams.every(({ writableLength, destroyed }) => destroyed || writableLength === 0),
      MAX_FLUSH_MS,
    );
    exit(status);
  }

  #report(status: number, cause: string): void {
    if (this.#isLogged) return;
    this.#isLogged = true;
    const uptimeMs = Math.round(performance.now() - this.#startMs);
    const fields = { status, cause, uptimeMs };
    if (status === 0) this.#options.log.report('process ended', fields);
    else this.#options.log.alert('process ended', fields);
  }
}
