import type { Clock } from '@limpetbay/core';
import type { Log } from '../log/Log.js';
import { SocketErrorLog } from '../log/SocketErrorLog.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Listener } from './Listener.js';

interface AddressBinderOptions {
  readonly clock: Clock;
  /** Runs an action once after a delay. @returns a function that cancels it */
  readonly schedule: (delayMs: number, run: () => void) => () => void;
  readonly log: Log;
  readonly metrics: MetricRegistry;
}

/** Failed attempts to bind one address. */
interface Attempts {
  readonly startMs: number;
  readonly failures: number;
  /** When the last line was logged, monotonic milliseconds. */
  readonly lastLineMs: number;
}

/**
 * Errors that pass once another process frees the address, the machine has the address, or
 * descriptors and memory are free again. No other error is expected to pass by itself.
 */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

const FIRST_DELAY_MS = 25;

const MAX_DELAY_MS = 500;

/** Interval between two lines about an address that stays unavailable, milliseconds. */
const LINE_INTERVAL_MS = 5000;

/**
 * Binds the addresses of a process, each independently of the others. An address that another
 * process holds, or that the machine does not have yet, is tried again until it is bound.
 */
export class AddressBinder {
  readonly #options: AddressBinderOptions;

  readonly #errors: SocketErrorLog;

  /** Cancels the retries in progress. */
  readonly #cancellations = new Set<() => void>();

  #isClosed = false;

  constructor(options: AddressBinderOptions) {
    this.#options = options;
    this.#errors = new SocketErrorLog(options);
  }

  /**
   * Binds an address. Resolves after the first attempt; if it failed with an error that may pass,
   * further attempts follow in the background until one succeeds.
   *
   * @throws the error of the first attempt if it is not expected to pass
   */
  async bind(listener: Listener): Promise<void> {
    const nowMs = this.#options.clock.getNow();
    const attempts = { startMs: nowMs, failures: 0, lastLineMs: -Infinity };
    const error = await this.#attempt(listener, attempts);
    if (error === null) return;
    if (!PASSING_ERRORS.has((error as NodeJS.ErrnoException).code)) throw error;
    this.#retry(listener, attempts, error);
  }

  /**
   * Binds an address. Resolves once it is bound.
   *
   * @throws the error of the first attempt if it is not expected to pass, or an error if the binder
   *   is closed before the address is bound
   */
  async bindAndWait(listener: Listener): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const cancel = (): void =>
        reject(new Error(`the start was cancelled before ${listener.address} was bound`));
      this.#cancellations.add(cancel);
      const handleBound = (): void => {
        this.#cancellations.delete(cancel);
        listener.onBound?.();
        resolve();
      };
      const { name, address } = listener;
      const bind: Listener['bind'] = (onError) => listener.bind(onError);
      this.bind({ name, address, bind, onBound: handleBound }).catch(reject);
    });
  }

  /** Ends all retries. */
  close(): void {
    this.#isClosed = true;
    for (const cancel of this.#cancellations) cancel();
    this.#cancellations.clear();
  }

  /** @returns the error of a failed attempt, or null */
  async #attempt(listener: Listener, { failures, startMs }: Attempts): Promise<Error | null> {
    const { log, clock } = this.#options;
    const { name, address } = listener;
    try {
      await listener.bind((error) =>
        this.#errors.report(name, 'error of a listening socket', {
          address,
          cause: error.message,
          next: 'it stays open; connections that it could not accept are closed or wait',
        }),
      );
    } catch (error) {
      return error as Error;
    }
    if (failures > 0) {
      const waitedMs = Math.round(clock.getNow() - startMs);
      log.report('address bound after failures', { listener: name, address, failures, waitedMs });
    }
    if (!this.#isClosed) listener.onBound?.();
    return null;
  }

  #retry(listener: Listener, previous: Attempts, error: Error): void {
    if (this.#isClosed) return;
    const { clock, log, metrics, schedule } = this.#options;
    const { name, address } = listener;
    const delayMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** previous.failures);
    const failures = previous.failures + 1;
    metrics.increase(`limpetbay_bind_failures_total{listener="${name}"}`);
    const nowMs = clock.getNow();
    const isLineDue = nowMs - previous.lastLineMs >= LINE_INTERVAL_MS;
    if (isLineDue) {
      const fields = { listener: name, address, failures, retryMs: delayMs };
      log.warn('could not bind an address; trying again', { ...fields, cause: error.message });
    }
    const lastLineMs = isLineDue ? nowMs : previous.lastLineMs;
    const attempts = { startMs: previous.startMs, failures, lastLineMs };
    const cancel = schedule(delayMs, () => {
      this.#cancellations.delete(cancel);
      void this.#attempt(listener, attempts).then((next) => {
        if (next !== null) this.#retry(listener, attempts, next);
      });
    });
    this.#cancellations.add(cancel);
  }
}
