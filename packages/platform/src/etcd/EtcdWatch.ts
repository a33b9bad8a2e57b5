import { Metadata, type ClientDuplexStream } from '@grpc/grpc-js';
import { Revision, type Clock, type StoreWatchListener } from '@limpetbay/core';
import type { EtcdApi } from './EtcdApi.js';
import type { EtcdConnection } from './EtcdConnection.js';
import { getPrefixEnd } from './getPrefixEnd.js';

interface EtcdWatchOptions {
  /** The watch's own connection; the watch closes it when it ends. */
  readonly connection: EtcdConnection;
  readonly clock: Clock;
  readonly prefix: string;
  readonly fromRevision: Revision;
  readonly listener: StoreWatchListener;
  /** Interval of progress requests, milliseconds. */
  readonly progressIntervalMs: number;
  /** Without any message for this long the connection counts as silent, milliseconds. */
  readonly silenceMs: number;
}

type WatchStream = ClientDuplexStream<EtcdApi['WatchRequest'], EtcdApi['WatchResponse']>;

/** One watch on a connection of its own, so that replacing it touches nothing else. */
export class EtcdWatch {
  readonly #options: EtcdWatchOptions;

  readonly #stream: WatchStream;

  readonly #timer: NodeJS.Timeout;

  #lastHeardAt: number;

  #lastCheckAt: number;

  #ended = false;

  constructor(options: EtcdWatchOptions) {
    this.#options = options;
    this.#lastHeardAt = options.clock.getNow();
    this.#lastCheckAt = this.#lastHeardAt;
    const { watch } = options.connection;
    const metadata = new Metadata();
    metadata.set('hasleader', 'true');
    this.#stream = (watch as unknown as { Watch: (metadata: Metadata) => WatchStream }).Watch(
      metadata,
    );
    this.#stream.on('data', (response: EtcdApi['WatchResponse']) => this.#accept(response));
    this.#stream.on('error', () => this.#end('failed'));
    this.#stream.on('end', () => this.#end('failed'));
    this.#stream.write({
      create_request: {
        key: Buffer.from(options.prefix),
        range_end: getPrefixEnd(options.prefix),
        start_revision: String(options.fromRevision),
        progress_notify: true,
      },
    });
    this.#timer = setInterval(() => this.#checkSilence(), options.progressIntervalMs);
  }

  /** Ends the watch without a call to the listener. */
  stop(): void {
    if (this.#ended) return;
    this.#ended = true;
    clearInterval(this.#timer);
    this.#stream.cancel();
    this.#options.connection.close();
  }

  #end(reason: 'gap' | 'failed'): void {
    if (this.#ended) return;
    this.stop();
    this.#options.listener.onEnd(reason);
  }

  #checkSilence(): void {
    const { clock, silenceMs } = this.#options;
    const now = clock.getNow();
    // A process that was paused may find old progress answers in its socket, which would pass as
    // a confirmation of now; only a new watch tells what is true.
    const wasPaused = now - this.#lastCheckAt >= silenceMs;
    this.#lastCheckAt = now;
    if (wasPaused || now - this.#lastHeardAt >= silenceMs) this.#end('failed');
    else this.#stream.write({ progress_request: {} });
  }

  #accept(response: EtcdApi['WatchResponse']): void {
    if (this.#ended) return;
    const { clock, listener, silenceMs } = this.#options;
    const now = clock.getNow();
    if (now - this.#lastCheckAt >= silenceMs) {
      this.#end('failed');
      return;
    }
    this.#lastHeardAt = now;
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
    // Only an answer without events and without `created` says that nothing is missing up to its
    // revision; the header of other answers may run ahead of the events still to come.
    if (response.events.length === 0 && !response.created) {
      listener.onProgress(Revision.parse(Number(response.header.revision)));
    }
  }
}
