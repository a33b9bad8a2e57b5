import {
  credentials,
  type CallOptions,
  type Client,
  type ClientReadableStream,
  type ServiceError,
} from '@grpc/grpc-js';
import {
  Ok,
  fail,
  type AnnouncedInstance,
  type Failure,
  type RelayEvent,
  type Result,
} from '@limpetbay/core';
import type { RelayMessages } from './RelayMessages.js';
import type { RevisionReport } from './RevisionReport.js';
import { decodeInstance } from './decodeInstance.js';
import { decodeRelayEvent } from './decodeRelayEvent.js';
import { encodeInstance } from './encodeInstance.js';
import { loadRelayService } from './loadRelayService.js';

interface FollowListener {
  onEvent(event: RelayEvent): void;
  onEnd(): void;
}

interface RelayStub extends Client {
  Follow(request: object): ClientReadableStream<RelayMessages['RelayEvent']>;
  Tell(request: object, options: CallOptions, respond: (error: ServiceError | null) => void): void;
  Report(
    request: object,
    options: CallOptions,
    respond: (error: ServiceError | null, report?: RelayMessages['RevisionReport']) => void,
  ): void;
}

const CHANNEL_OPTIONS = {
  'grpc.enable_retries': 0,
  // Each stream has its own connection, so that closing a stalled stream does not affect others.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  // The view of 2,700 instances and documents of 256 ranks together exceed the default of 4 MB.
  'grpc.max_receive_message_length': 64 * 1024 * 1024,
};

const ANNOUNCEMENT_TIMEOUT_MS = 1000;

/** Calls the `Relay` service of other processes, with one connection for each call. */
export class RelayClient {
  readonly #service = loadRelayService();

  /**
   * Opens a stream of the events of a peer.
   *
   * @param address `IP:PORT` of the peer
   * @param known revisions by service name that the peer need not send
   * @returns the function that closes the stream without notifying the listener of its end
   */
  follow(
    address: string,
    self: AnnouncedInstance,
    known: ReadonlyMap<string, number>,
    listener: FollowListener,
  ): () => void {
    const stub = this.#connect(address);
    const revisions = [...known].map(([name, revision]) => ({ name, revision }));
    const stream = stub.Follow({ self: encodeInstance(self), known: revisions });
    let isOpen = true;
    const close = (): void => {
      isOpen = false;
      stream.cancel();
      stub.close();
    };
    const handleEnd = (): void => {
      if (!isOpen) return;
      close();
      listener.onEnd();
    };
    stream.on('data', (message: RelayMessages['RelayEvent']) => {
      const event = decodeRelayEvent(message);
      if (isOpen && event !== null) listener.onEvent(event);
    });
    stream.on('error', handleEnd);
    stream.on('end', handleEnd);
    return close;
  }

  /** Sends this process's announcement to a peer; failures are ignored. */
  sendAnnouncement(address: string, self: AnnouncedInstance): void {
    const stub = this.#connect(address);
    const deadline = Date.now() + ANNOUNCEMENT_TIMEOUT_MS;
    stub.Tell(encodeInstance(self), { deadline }, () => stub.close());
  }

  /**
   * Fetches the report of the revisions that are active in a process.
   *
   * @returns `timed_out` if the call fails or the answer is no valid report
   */
  async fetchReport(address: string, timeoutMs: number): Promise<Result<RevisionReport, Failure>> {
    const stub = this.#connect(address);
    const deadline = Date.now() + timeoutMs;
    return new Promise((resolve) => {
      stub.Report({}, { deadline }, (error, message) => {
        stub.close();
        const self = decodeInstance(message?.self);
        if (error !== null || message === undefined || self === null) {
          resolve(
            fail(
              'timed_out',
              `${address}: ${error?.details ?? 'the answer is not a valid report'}`,
            ),
          );
          return;
        }
        const revisions = new Map<
          string,
          { revision: number; deleted: boolean; inForceMs: number }
        >();
        for (const { name, revision, deleted, inForceMs } of message.revisions) {
          revisions.set(name, { revision, deleted, inForceMs });
        }
        resolve(
          Ok({
            self,
            revisions,
            state: message.state as RevisionReport['state'],
            ready: message.ready,
            isRelay: message.relay,
            followers: message.followers,
            zoneCount: message.zoneCount,
            confirmationAgeMs: message.confirmationAgeMs ?? null,
            outsideContactAgeMs: message.outsideContactAgeMs ?? null,
          }),
        );
      });
    });
  }

  #connect(address: string): RelayStub {
    const channelCredentials = credentials.createInsecure();
    return new this.#service(address, channelCredentials, CHANNEL_OPTIONS) as unknown as RelayStub;
  }
}
