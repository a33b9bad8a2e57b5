import type { Clock } from '../clock/Clock.js';
import type { SilentStream } from './SilentStream.js';

interface Stream {
  readonly channel: string;
  limitMs: number;
  markedMs: number;
}

/** A process that did not run for this many polling intervals was paused. */
const PAUSE_INTERVALS = 4;

/**
 * Finds streams without progress. A silent stream is reported by the first `poll()` after its limit,
 * so within its limit plus one polling interval. Time for which this process stood still does not
 * count: after a pause all peers look silent, and replacing all channels would be wrong.
 */
export class ProgressWatch {
  readonly #clock: Clock;

  readonly #intervalMs: number;

  readonly #streams = new Map<string, Stream>();

  /** Last progress of any stream of a channel. */
  readonly #channels = new Map<string, { markedMs: number; streams: number }>();

  #seenMs: number;

  #pausedMs = 0;

  /** @param intervalMs time between two calls of `poll()` */
  constructor(clock: Clock, intervalMs: number) {
    this.#clock = clock;
    this.#intervalMs = intervalMs;
    this.#seenMs = clock.getNow();
  }

  /**
   * Watches a stream from now on.
   *
   * @param channel the connection that the stream uses
   * @param limitMs longest time without progress
   */
  open(stream: string, channel: string, limitMs: number): void {
    this.close(stream);
    const markedMs = this.#getRunningMs();
    this.#streams.set(stream, { channel, limitMs, markedMs });
    const known = this.#channels.get(channel);
    if (known === undefined) this.#channels.set(channel, { markedMs: -Infinity, streams: 1 });
    else known.streams += 1;
  }

  /** The stream made progress: any frame, byte, heartbeat or confirmation. */
  mark(stream: string): void {
    const found = this.#streams.get(stream);
    if (found === undefined) return;
    found.markedMs = this.#getRunningMs();
    const channel = this.#channels.get(found.channel);
    if (channel !== undefined) channel.markedMs = found.markedMs;
  }

  /** Changes the limit, for example with the step time. */
  setLimit(stream: string, limitMs: number): void {
    const found = this.#streams.get(stream);
    if (found !== undefined) found.limitMs = limitMs;
  }

  /** Stops to watch a stream that ended. */
  close(stream: string): void {
    const found = this.#streams.get(stream);
    if (found === undefined) return;
    this.#streams.delete(stream);
    const channel = this.#channels.get(found.channel);
    if (channel === undefined) return;
    channel.streams -= 1;
    if (channel.streams === 0) this.#channels.delete(found.channel);
  }

  /** Returns the streams that have become silent, and stops to watch them. */
  poll(): SilentStream[] {
    const runningMs = this.#getRunningMs();
    const silent: SilentStream[] = [];
    const replaced = new Set<string>();
    for (const [stream, { channel, limitMs, markedMs }] of this.#streams) {
      const silentMs = runningMs - markedMs;
      if (silentMs <= limitMs) continue;
      const channelMs = runningMs - (this.#channels.get(channel)?.markedMs ?? -Infinity);
      const replaceChannel = channelMs > limitMs && !replaced.has(channel);
      if (replaceChannel) replaced.add(channel);
      silent.push({ stream, channel, silentMs, replaceChannel });
    }
    for (const { stream } of silent) this.close(stream);
    return silent;
  }

  /** Returns the time by the clock less all pauses of this process. */
  #getRunningMs(): number {
    const now = this.#clock.getNow();
    const gapMs = now - this.#seenMs;
    if (gapMs > PAUSE_INTERVALS * this.#intervalMs) this.#pausedMs += gapMs - this.#intervalMs;
    this.#seenMs = now;
    return now - this.#pausedMs;
  }
}
