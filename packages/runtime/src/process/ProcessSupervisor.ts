import type { EventEmitter } from 'node:events';
import type { Log } from '../log/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { SettingsReloader } from '../settings/SettingsReloader.js';
import { signalActions } from './signalActions.js';
import type { SupervisedProcess } from './SupervisedProcess.js';

interface ProcessSupervisorOptions<Settings> {
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Emits signals and uncaught errors; the global `process` outside of tests. */
  readonly events: EventEmitter;
  /** Logs the cause and ends the process with a status, perhaps a moment later. */
  readonly exit: (status: number, cause: string) => Promise<void>;
  /** Null for a program without a settings file. */
  readonly reloader: SettingsReloader<Settings> | null;
}

const FAILURE_EXIT_STATUS = 1;

/** A start that an uncaught error has ended never returns; this time is left to one that goes on. */
const START_TIMEOUT_MS = 2000;

/**
 * Decides for a program what each signal does, and keeps it running after an uncaught error.
 *
 * - A stop signal aborts the start, or stops the program gracefully after it; the process then ends
 *   with status 0.
 * - SIGHUP reads the settings again. It changes nothing during the start or a stop.
 * - An error that reached no handler is logged and counted, and everything that it does not concern
 *   goes on. If the start does not end after it, the process ends with status 1.
 */
export class ProcessSupervisor<Settings> {
  readonly #options: ProcessSupervisorOptions<Settings>;

  #state: 'starting' | 'running' | 'stopping' = 'starting';

  readonly #startAbort = new AbortController();

  #isStopRequested = false;

  #stopSignal = '';

  #running: SupervisedProcess<Settings> | null = null;

  constructor(options: ProcessSupervisorOptions<Settings>) {
    this.#options = options;
  }

  /** Handles signals and uncaught errors from now on, and starts the program. */
  async run(start: (signal: AbortSignal) => Promise<SupervisedProcess<Settings>>): Promise<void> {
    const { events, reloader } = this.#options;
    for (const signal of Object.keys(signalActions)) {
      events.on(signal, () => this.#handleSignal(signal as NodeJS.Signals));
    }
    events.on('uncaughtException', (error: unknown) => this.#handleError(error, 'exception'));
    events.on('unhandledRejection', (error: unknown) => this.#handleError(error, 'rejection'));
    let running: SupervisedProcess<Settings>;
    try {
      running = await start(this.#startAbort.signal);
    } catch (error) {
      const cause = describeError(error);
      if (this.#isStopRequested) {
        this.#options.log.report('stopped during the start', { cause });
        await this.#options.exit(0, `stopped during the start after ${this.#stopSignal}`);
        return;
      }
      this.#options.log.alert('could not start', { cause });
      await this.#options.exit(FAILURE_EXIT_STATUS, `could not start: ${cause}`);
      return;
    }
    this.#running = running;
    this.#state = 'running';
    if (this.#isStopRequested) await this.#stop();
    else reloader?.start((settings) => running.applySettings(settings));
  }

  #handleSignal(signal: NodeJS.Signals): void {
    const { log, reloader } = this.#options;
    const action = signalActions[signal];
    if (action === 'stop') this.#handleStopSignal(signal);
    else if (action === 'reload' && this.#state === 'running' && reloader !== null) {
      log.report('signal received; reading the settings again', { signal });
      reloader.request();
    } else log.report('signal ignored', { signal, state: this.#state });
  }

  #handleStopSignal(signal: NodeJS.Signals): void {
    const { log } = this.#options;
    if (this.#isStopRequested) {
      log.report('signal ignored: a stop is in progress', { signal });
      return;
    }
    this.#isStopRequested = true;
    this.#stopSignal = signal;
    log.report('signal received; stopping', { signal, state: this.#state });
    if (this.#state === 'running') void this.#stop();
    else this.#startAbort.abort();
  }

  async #stop(): Promise<void> {
    this.#state = 'stopping';
    this.#options.reloader?.stop();
    try {
      await this.#running?.stop();
    } catch (error) {
      const cause = describeError(error);
      this.#options.log.alert('graceful stop failed', { cause });
      const end = `graceful stop after ${this.#stopSignal} failed: ${cause}`;
      await this.#options.exit(FAILURE_EXIT_STATUS, end);
      return;
    }
    await this.#options.exit(0, `graceful stop after ${this.#stopSignal} finished`);
  }

  #handleError(error: unknown, kind: 'exception' | 'rejection'): void {
    const { log, metrics } = this.#options;
    metrics.increase(`limpetbay_uncaught_errors_total{kind="${kind}"}`);
    const cause = describeError(error);
    const isStarting = this.#state === 'starting';
    log.alert(`uncaught error${isStarting ? ' during the start' : ''}; continuing`, {
      kind,
      cause,
    });
    if (isStarting) this.#limitStart(`uncaught ${kind} during the start: ${cause}`);
  }

  /** Ends the process if its start does not end soon. @param cause the error that may have ended it */
  #limitStart(cause: string): void {
    setTimeout(() => {
      if (this.#state !== 'starting') return;
      this.#options.log.alert('could not start: it did not end after an uncaught error', { cause });
      void this.#options.exit(FAILURE_EXIT_STATUS, cause);
    }, START_TIMEOUT_MS);
  }
}

function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
