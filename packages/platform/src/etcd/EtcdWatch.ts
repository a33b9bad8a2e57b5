import { Metadata, type ClientDuplexStream } from '@grpc/grpc-js';
import { Revision, type Clock, type StorePosition, type StoreWatchListener } from '@limpetbay/core';
import type { EtcdApi } from './EtcdApi.js';
import type { EtcdConnection } from './EtcdConnection.js';
import { getPrefixEnd } from './getPrefixEnd.js';

interface EtcdWatchOptions {
  /** Connection used by this watch only, which closes it at its end. */
  readonly connection: EtcdConnection;
  readonly clock: Clock;
  readonly prefix: string;
  readonly from: StorePosition;
  readonly listener: StoreWatchListener;
  /** Interval of progress requests, milliseconds. */
  readonly progressIntervalMs: number;
  /** Maximum time without any message before the watch ends, milliseconds. */
  readonly progressTimeoutMs: number;
}

type WatchStream = ClientDuplexStream<EtcdApi['WatchRequest'], EtcdApi['WatchResponse']>;

/** A watch on its own connection, so that replacing it affects no other call or watch. */
export class EtcdWatch {
  readonly #options: EtcdWatchOptions;

  readonly #stream: WatchStream;

  readonly #timer: NodeJS.Timeout;

  #lastMessageAt: number;

  #lastCheckAt: number;

  #ended = false;

  constructor(options: EtcdWatchOptions) {
    this.#options = options;
    this.#lastMessageAt = options.clock.getNow();
    this.#lastCheckAt = this.#lastMessageAt;
    const { watch } = options.connection;
    const metadata = new Metadata();
    metadata.set('hasleader', 'true');
    this.#stream = (watch as unknown as { Watch: (metadata: Metadata) => WatchStream }).Watch(
      metadata,
    );
    this.#stream.on('data', (response: EtcdApi['WatchResponse']) => this.#handleResponse(response));
    this.#stream.on('error', () => this.#end('failed'));
    this.#stream.on('end', () => this.#end('failed'));
    this.#stream.write({
      create_request: {
        key: Buffer.from(options.prefix),
        range_end: getPrefixEnd(options.prefix),
        start_revision: String(options.from.revision),
        progress_notify: true,
      },
    });
    this.#timer = setInterval(() => this.#checkProgress(), options.progressIntervalMs);
  }

  /** Ends the watch without calling the listener. */
  stop(): void {
    if (this.#ended) return;
    this.#ended = true;
    clearInterval(this.#timer);
    this.#stream.cancel();
    this.#options.connection.close();
  }

  #end(reason: 'gap' | 'restored' | 'failed'): void {
    if (this.#ended) return;
    this.stop();
    this.#options.listener.onEnd(reason);
  }

  #checkProgress(): void {
    const { clock, progressTimeoutMs } = this.#options;
    const now = clock.getNow();
    // After a pause of this process, its socket may hold outdated progress answers, which would be
    // taken for a current confirmation. Only a new watch gives the current state.
    const wasPaused = now - this.#lastCheckAt >= progressTimeoutMs;
    this.#lastCheckAt = now;
    if (wasPaused || now - this.#lastMessageAt >= progressTimeoutMs) this.#end('failed');
    else this.#stream.write({ progress_request: {} });
  }

  #handleResponse(response: EtcdApi['WatchResponse']): void {
    if (this.#ended) return;
    const { clock, listener, progressTimeoutMs } = this.#options;
    const now = clock.getNow();
    if (now - this.#lastCheckAt >= progressTimeoutMs) {
      this.#end('failed');
      return;
    }
    this.#lastMessageAt = now;
    if (response.header.cluster_id !== this.#options.from.era) {
      this.#end('restored');
      return;
    }
    if (response.canceled) {
      this.#end(Number(response.compact_revision) > 0 ? 'gap' : 'failed');
      return;
    }
    for (const { type, kv } of response.events) {
      listener.onChange({
        key: kv.key.toString(),
        value: type === 'DELETE' ? null : kv.value.toString(),
        revision: Revision.parse(Number(kv.mod_revision)),
      });
      if (this.#ended) return;
    }
    // Only an answer without events and without `created` confirms that all changes up to its
    // revision were delivered. In other answers the revision may be ahead of events still to come.
    if (response.events.length === 0 && !response.created) {
      listener.onProgress(Revision.parse(Number(response.header.revision)));
    }
  }
}
