import type { Clock } from '../clock/Clock.js';
import type { StalledStream } from './StalledStream.js';

interface WatchedStream {
  readonly connection: string;
  limitMs: number;
  lastProgressMs: number;
}

/** Polling intervals without a call after which this process is assumed to have been paused. */
const PAUSE_INTERVALS = 4;

/**
 * Detects streams without progress. A stalled stream is reported by the first `poll()` after its
 * timeout, so within the timeout plus one polling interval. Time for which this process was paused
 * does not count: after a pause all peers appear stalled, and replacing all connections would be
 * wrong.
 */
export class ProgressMonitor {
  readonly #clock: Clock;

  readonly #intervalMs: number;

  readonly #streams = new Map<string, WatchedStream>();

  /** Time of the last progress of any stream of a connection, and its number of streams. */
  readonly #connections = new Map<string, { lastMs: number; streams: number }>();

  #lastCheckedMs: number;

  #pausedMs = 0;

  /** @param intervalMs time between two calls of `poll()` */
  constructor(clock: Clock, intervalMs: number) {
    this.#clock = clock;
    this.#intervalMs = intervalMs;
    this.#lastCheckedMs = clock.getNow();
  }

  /**
   * Starts to watch a stream.
   *
   * @param connection the connection that the stream uses
   * @param limitMs maximum time without progress, milliseconds
   */
  add(stream: string, connection: string, limitMs: number): void {
    this.remove(stream);
    const lastProgressMs = this.#getRunningMs();
    this.#streams.set(stream, { connection, limitMs, lastProgressMs });
    const usage = this.#connections.get(connection);
    if (usage === undefined) this.#connections.set(connection, { lastMs: -Infinity, streams: 1 });
    else usage.streams += 1;
  }

  /** Records progress of a stream: a frame, byte, heartbeat or confirmation. */
  recordProgress(stream: string): void {
    const watched = this.#streams.get(stream);
    if (watched === undefined) return;
    watched.lastProgressMs = this.#getRunningMs();
    const connection = this.#connections.get(watched.connection);
    if (connection !== undefined) connection.lastMs = watched.lastProgressMs;
  }

  /** Changes the maximum time without progress, for example when the step time changes. */
  setLimit(stream: string, limitMs: number): void {
    const watched = this.#streams.get(stream);
    if (watched !== undefined) watched.limitMs = limitMs;
  }

  /** Stops watching a stream that has ended. */
  remove(stream: string): void {
    const watched = this.#streams.get(stream);
    if (watched === undefined) return;
    this.#streams.delete(stream);
    const connection = this.#connections.get(watched.connection);
    if (connection === undefined) return;
    connection.streams -= 1;
    if (connection.streams === 0) this.#connections.delete(watched.connection);
  }

  /** Returns the streams that have stalled, and stops watching them. */
  poll(): StalledStream[] {
    const runningMs = this.#getRunningMs();
    const stalled: StalledStream[] = [];
    const replaced = new Set<string>();
    for (const [stream, { connection, limitMs, lastProgressMs }] of this.#streams) {
      const stalledMs = runningMs - lastProgressMs;
      if (stalledMs <= limitMs) continue;
      const connectionStalledMs =
        runningMs - (this.#connections.get(connection)?.lastMs ?? -Infinity);
      const replaceChannel = connectionStalledMs > limitMs && !replaced.has(connection);
      if (replaceChannel) replaced.add(connection);
      stalled.push({ stream, connection, stalledMs, replaceChannel });
    }
    for (const { stream } of stalled) this.remove(stream);
    return stalled;
  }

  /** Returns the clock's time less all pauses of this process, milliseconds. */
  #getRunningMs(): number {
    const now = this.#clock.getNow();
    const gapMs = now - this.#lastCheckedMs;
    if (gapMs > PAUSE_INTERVALS * this.#intervalMs) this.#pausedMs += gapMs - this.#intervalMs;
    this.#lastCheckedMs = now;
    return now - this.#pausedMs;
  }
}
