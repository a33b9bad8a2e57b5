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
  // Without its own pool a channel would share one TCP connection with every other channel to the
  // same address, and a silent connection could not be replaced alone.
  'grpc.use_local_subchannel_pool': 1,
  // The library's default backoff grows to two minutes, far beyond the 3 s of a change.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.max_receive_message_length': -1,
};

/** One TCP connection to the store with the clients of its services. */
export class EtcdConnection {
  readonly kv: Client;

  readonly lease: Client;

  readonly watch: Client;

  readonly openedAt: number;

  readonly #clock: Clock;

  /** When the oldest call was sent that no later answer has followed; null while none waits. */
  #unansweredSince: number | null = null;

  constructor(options: EtcdConnectionOptions) {
    const { services, address, clock } = options;
    const secrets = credentials.createInsecure();
    this.#clock = clock;
    this.openedAt = clock.getNow();
    this.kv = new services.KV(address, secrets, CHANNEL_OPTIONS);
    const shared = { channelOverride: this.kv.getChannel() };
    this.lease = new services.Lease(address, secrets, shared);
    this.watch = new services.Watch(address, secrets, shared);
  }

  /** Waits until a call can be sent. @returns whether it can; false is known to have no effect */
  async waitReady(timeoutMs: number): Promise<boolean> {
    const channel = this.kv.getChannel();
    const deadline = Date.now() + timeoutMs;
    while (true) {
      const state = channel.getConnectivityState(true);
      if (state === connectivityState.READY) return true;
      const isOver = state === connectivityState.SHUTDOWN || Date.now() >= deadline;
      if (isOver || state === connectivityState.TRANSIENT_FAILURE) return false;
      const changed = await new Promise<boolean>((resolve) => {
        channel.watchConnectivityState(state, deadline, (error) => resolve(error === undefined));
      });
      if (!changed) return false;
    }
  }

  recordSent(): void {
    this.#unansweredSince ??= this.#clock.getNow();
  }

  /** @param code status of the call; anything but a missed deadline shows a live connection */
  recordAnswer(code: status): void {
    if (code !== status.DEADLINE_EXCEEDED) this.#unansweredSince = null;
  }

  /** Tells for how long calls have been sent without any answer, milliseconds. */
  getSilenceMs(): number {
    return this.#unansweredSince === null ? 0 : this.#clock.getNow() - this.#unansweredSince;
  }

  /** Closes the connection; calls in progress may still finish. */
  close(): void {
    this.kv.close();
  }
}
