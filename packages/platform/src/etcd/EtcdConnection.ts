import { connectivityState, credentials, status, type Client } from '@grpc/grpc-js';
import type { Clock } from '@limpetbay/core';
import type { loadEtcdServices } from './loadEtcdServices.js';

interface EtcdConnectionOptions {
  readonly services: ReturnType<typeof loadEtcdServices>;
  readonly address: string;
  readonly clock: Clock;
}

const CHANNEL_OPTIONS = {
  'grpc.enable_retries': 0,
  // Without its own pool, a channel shares one TCP connection with all other channels to the same
  // address, so that a stalled connection could not be replaced on its own.
  'grpc.use_local_subchannel_pool': 1,
  // The library's default backoff grows to two minutes, but a change must take effect within 3 s.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.max_receive_message_length': -1,
};

/** A TCP connection to the store, with a client for each of its services. */
export class EtcdConnection {
  readonly kv: Client;

  readonly lease: Client;

  readonly watch: Client;

  /** Monotonic time, milliseconds. */
  readonly openedAt: number;

  readonly #clock: Clock;

  /** Time of the first call since the last answer; null if an answer has followed every call. */
  #unansweredSince: number | null = null;

  constructor(options: EtcdConnectionOptions) {
    const { services, address, clock } = options;
    const channelCredentials = credentials.createInsecure();
    this.#clock = clock;
    this.openedAt = clock.getNow();
    this.kv = new services.KV(address, channelCredentials, CHANNEL_OPTIONS);
    const sharedChannel = { channelOverride: this.kv.getChannel() };
    this.lease = new services.Lease(address, channelCredentials, sharedChannel);
    this.watch = new services.Watch(address, channelCredentials, sharedChannel);
  }

  /**
   * Waits until a call can be sent.
   *
   * @returns whether it can; if false, nothing was sent, so the call has no effect
   */
  async waitReady(timeoutMs: number): Promise<boolean> {
    const channel = this.kv.getChannel();
    const deadline = Date.now() + timeoutMs;
    while (true) {
      const state = channel.getConnectivityState(true);
      if (state === connectivityState.READY) return true;
      const isFinished = state === connectivityState.SHUTDOWN || Date.now() >= deadline;
      if (isFinished || state === connectivityState.TRANSIENT_FAILURE) return false;
      const changed = await new Promise<boolean>((resolve) => {
        channel.watchConnectivityState(state, deadline, (error) => resolve(error === undefined));
      });
      if (!changed) return false;
    }
  }

  recordSent(): void {
    this.#unansweredSince ??= this.#clock.getNow();
  }

  /** @param code status of the call; any other than `DEADLINE_EXCEEDED` shows a live connection */
  recordAnswer(code: status): void {
    if (code !== status.DEADLINE_EXCEEDED) this.#unansweredSince = null;
  }

  /** Returns how long calls have been sent without any answer, milliseconds. */
  getUnansweredMs(): number {
    return this.#unansweredSince === null ? 0 : this.#clock.getNow() - this.#unansweredSince;
  }

  /** Closes the connection; calls in progress may still finish. */
  close(): void {
    this.kv.close();
  }
}
