import type {
  ServerUnaryCall,
  ServerWritableStream,
  UntypedServiceImplementation,
  sendUnaryData,
} from '@grpc/grpc-js';
import type { Clock, ConfigNode } from '@limpetbay/core';
import type { RelayMessages } from './RelayMessages.js';
import type { RevisionReport } from './RevisionReport.js';
import { decodeInstance } from './decodeInstance.js';
import { encodeInstance } from './encodeInstance.js';
import { encodeRelayEvent } from './encodeRelayEvent.js';

interface RelayServerOptions {
  readonly node: ConfigNode;
  readonly clock: Clock;
  readonly getReport: () => RevisionReport;
}

type FollowCall = ServerWritableStream<RelayMessages['FollowRequest'], RelayMessages['RelayEvent']>;

/** A follower that reads nothing for this long is treated as unresponsive and disconnected. */
const WRITE_STALL_TIMEOUT_MS = 5000;

/** Serves the `Relay` service of this process. */
export class RelayServer {
  readonly #options: RelayServerOptions;

  readonly #calls = new Set<FollowCall>();

  constructor(options: RelayServerOptions) {
    this.#options = options;
  }

  /** Returns the method implementations to register with a gRPC server. */
  getHandlers(): UntypedServiceImplementation {
    return {
      Follow: (call: FollowCall) => this.#handleFollow(call),
      Tell: (
        call: ServerUnaryCall<RelayMessages['Instance'], object>,
        respond: sendUnaryData<object>,
      ) => {
        this.#options.node.handleAnnouncement(decodeInstance(call.request));
        respond(null, {});
      },
      Report: (_call: unknown, respond: sendUnaryData<RelayMessages['RevisionReport']>) => {
        respond(null, this.#encodeReport());
      },
    };
  }

  /** Ends all streams, so that followers switch to another relay immediately. */
  stop(): void {
    for (const call of this.#calls) call.end();
    this.#calls.clear();
  }

  #handleFollow(call: FollowCall): void {
    const { node, clock } = this.#options;
    const known = new Map<string, number>();
    for (const { name, revision } of call.request.known) known.set(name, revision);
    let fullSince: number | null = null;
    const removeFollower = node.addFollower(decodeInstance(call.request.self), known, {
      send: (event) => call.write(encodeRelayEvent(event)),
      isFull: () => {
        const now = clock.getNow();
        fullSince = call.writableNeedDrain ? (fullSince ?? now) : null;
        if (fullSince !== null && now - fullSince >= WRITE_STALL_TIMEOUT_MS) call.destroy();
        return fullSince !== null;
      },
    });
    this.#calls.add(call);
    for (const event of ['cancelled', 'close', 'error', 'finish']) {
      call.on(event, () => {
        removeFollower();
        this.#calls.delete(call);
      });
    }
  }

  #encodeReport(): RelayMessages['RevisionReport'] {
    const report = this.#options.getReport();
    const { confirmationAgeMs, outsideContactAgeMs } = report;
    return {
      self: encodeInstance(report.self),
      revisions: [...report.revisions].map(([name, value]) => ({ name, ...value })),
      state: report.state,
      ready: report.ready,
      relay: report.isRelay,
      followers: report.followers,
      zoneCount: report.zoneCount,
      ...(confirmationAgeMs === null ? {} : { confirmationAgeMs }),
      ...(outsideContactAgeMs === null ? {} : { outsideContactAgeMs }),
    };
  }
}
