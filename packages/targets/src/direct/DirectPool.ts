import type { Clock } from '@limpetbay/core';
import type { DirectCall } from './DirectCall.js';
import { DirectChannel } from './DirectChannel.js';
import type { DirectListener } from './DirectListener.js';

interface IdleChannel {
  readonly channel: DirectChannel;
  readonly sinceMs: number;
}

/** Connections kept open to one target while idle. */
const MAX_IDLE_CHANNELS = 16;

/** The connections of this process to one target address. */
export class DirectPool {
  readonly #address: string;

  readonly #clock: Clock;

  /** Idle channels, the one used last at the end. */
  #idle: IdleChannel[] = [];

  readonly #open = new Set<DirectChannel>();

  constructor(address: string, clock: Clock) {
    this.#address = address;
    this.#clock = clock;
  }

  /** Sends a call on an idle connection or a new one. @returns a function that gives it up */
  send(call: DirectCall, listener: DirectListener): () => void {
    const channel = this.#takeIdle(call.maxIdleMs) ?? this.#openChannel();
    return channel.send(call, listener);
  }

  /** Closes idle connections that were not used for `maxIdleMs` milliseconds. */
  closeIdle(maxIdleMs: number): void {
    const oldestMs = this.#clock.getNow() - maxIdleMs;
    const kept: IdleChannel[] = [];
    const stale: IdleChannel[] = [];
    for (const idle of this.#idle) (idle.sinceMs < oldestMs ? stale : kept).push(idle);
    this.#idle = kept;
    for (const { channel } of stale) channel.close();
  }

  count(): number {
    return this.#open.size;
  }

  close(): void {
    for (const channel of [...this.#open]) channel.close();
  }

  #takeIdle(maxIdleMs: number): DirectChannel | null {
    const last = this.#idle[this.#idle.length - 1];
    if (last === undefined || this.#clock.getNow() - last.sinceMs > maxIdleMs) return null;
    this.#idle.pop();
    return last.channel;
  }

  #openChannel(): DirectChannel {
    const channel: DirectChannel = new DirectChannel(this.#address, {
      onIdle: () => this.#putIdle(channel),
      onClosed: () => this.#remove(channel),
    });
    this.#open.add(channel);
    return channel;
  }

  #putIdle(channel: DirectChannel): void {
    if (this.#idle.length >= MAX_IDLE_CHANNELS) {
      channel.close();
      return;
    }
    this.#idle.push({ channel, sinceMs: this.#clock.getNow() });
  }

  #remove(channel: DirectChannel): void {
    this.#open.delete(channel);
    this.#idle = this.#idle.filter((idle) => idle.channel !== channel);
  }
}
