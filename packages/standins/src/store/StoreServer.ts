import {
  Server,
  ServerCredentials,
  status,
  type ServerDuplexStream,
  type ServerUnaryCall,
  type UntypedServiceImplementation,
  type sendUnaryData,
} from '@grpc/grpc-js';
import type { Clock } from '@limpetbay/core';
import { loadEtcdServices, type EtcdApi } from '@limpetbay/platform';
import { KeyValueState } from './KeyValueState.js';

type RpcMethod =
  | 'Range'
  | 'Put'
  | 'DeleteRange'
  | 'Txn'
  | 'Watch'
  | 'Progress'
  | 'LeaseGrant'
  | 'LeaseRevoke'
  | 'LeaseKeepAlive';

interface Watcher {
  readonly stream: ServerDuplexStream<EtcdApi['WatchRequest'], EtcdApi['WatchResponse']>;
  readonly ranges: Map<string, { readonly key: Buffer; readonly rangeEnd: Buffer }>;
  /** A stalled stream stays open and sends nothing more. */
  isStalled: boolean;
}

interface StoreServerOptions {
  readonly clock: Clock;
  /** IP address to listen on; 127.0.0.1 by default. */
  readonly host?: string;
}

const WRITE_METHODS: ReadonlySet<RpcMethod> = new Set(['Put', 'DeleteRange', 'Txn', 'LeaseRevoke']);

const LEASE_CHECK_INTERVAL_MS = 100;

/** The error that etcd returns while it has no leader. The call took no effect. */
const NO_LEADER_ERROR = { code: status.UNAVAILABLE, details: 'etcdserver: no leader' };

/** The watch id of a progress response that applies to all watches of the stream. */
const WHOLE_STREAM_WATCH_ID = '-1';

/** A stand-in for the platform's key-value service: the subset of the etcd v3 gRPC API in use. */
export class StoreServer {
  readonly state: KeyValueState;

  readonly #host: string;

  readonly #callCounts = new Map<RpcMethod, number>();

  readonly #watchers = new Set<Watcher>();

  #server: Server | null = null;

  #timer: NodeJS.Timeout | null = null;

  #nextWatchId = 0;

  #hasOutage = false;

  #answerDelayMs = 0;

  #answersToDrop = 0;

  #address = '';

  constructor(options: StoreServerOptions) {
    this.#host = options.host ?? '127.0.0.1';
    this.state = new KeyValueState(options.clock, (events) => this.#publish(events));
  }

  /** `IP:PORT`; empty before the start. */
  get address(): string {
    return this.#address;
  }

  /** Starts listening. @param port 0 selects a free port @returns `IP:PORT` */
  async start(port = 0): Promise<string> {
    const services = loadEtcdServices();
    const server = new Server({ 'grpc.max_receive_message_length': -1 });
    server.addService(services.KV.service, {
      Range: this.#serve('Range', (request: EtcdApi['RangeRequest']) =>
        this.state.readRange(request),
      ),
      Put: this.#serve('Put', (request: EtcdApi['PutRequest']) =>
        this.state.applyTransaction({
          compare: [],
          success: [{ request_put: request }],
          failure: [],
        }),
      ),
      DeleteRange: this.#serve('DeleteRange', (request: EtcdApi['DeleteRangeRequest']) => {
        const deleted = String(this.state.readRange(request).kvs.length);
        const operation = { request_delete_range: request };
        const answer = this.state.applyTransaction({
          compare: [],
          success: [operation],
          failure: [],
        });
        return { header: answer?.header, deleted };
      }),
      Txn: this.#serve('Txn', (request: EtcdApi['TxnRequest']) =>
        this.state.applyTransaction(request),
      ),
    });
    server.addService(services.Lease.service, {
      LeaseGrant: this.#serve('LeaseGrant', (request: EtcdApi['LeaseGrantRequest']) => ({
        header: this.state.getHeader(),
        ID: this.state.grantLease(Number(request.TTL), request.ID),
        TTL: request.TTL,
      })),
      LeaseRevoke: this.#serve('LeaseRevoke', (request: EtcdApi['LeaseRevokeRequest']) =>
        this.state.revokeLease(request.ID) ? { header: this.state.getHeader() } : null,
      ),
      LeaseKeepAlive: (stream: ServerDuplexStream<{ ID: string }, object>) =>
        this.#serveKeepAlive(stream),
    });
    server.addService(services.Watch.service, {
      Watch: (stream: Watcher['stream']) => this.#serveWatch(stream),
    });
    this.#server = server;
    const bound = await new Promise<number>((resolve, reject) => {
      server.bindAsync(
        `${this.#host}:${port}`,
        ServerCredentials.createInsecure(),
        (error, boundPort) => (error ? reject(error) : resolve(boundPort)),
      );
    });
    this.#timer = setInterval(() => this.state.expireLeases(), LEASE_CHECK_INTERVAL_MS);
    this.#address = `${this.#host}:${bound}`;
    return this.#address;
  }

  /** Closes all connections. The data is kept for the next `start`. */
  async stop(): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#server?.forceShutdown();
    this.#server = null;
    this.#watchers.clear();
  }

  /** Begins or ends an outage, during which calls fail without effect. It ends open watches. */
  setOutage(outage: boolean): void {
    this.#hasOutage = outage;
    if (!outage) return;
    for (const watcher of this.#watchers) watcher.stream.emit('error', NO_LEADER_ERROR);
    this.#watchers.clear();
  }

  /** Sets the delay of each answer, milliseconds. A write takes effect before the delay. */
  setDelay(delayMs: number): void {
    this.#answerDelayMs = delayMs;
  }

  /** Drops the answers of the next `count` writes, which still take effect. */
  dropAnswers(count: number): void {
    this.#answersToDrop = count;
  }

  /** Stalls the watch streams that are open now; streams opened later work. */
  setWatchesStalled(): void {
    for (const watcher of this.#watchers) watcher.isStalled = true;
  }

  /** Drops the history up to and including `revision`, by default all of it. */
  dropHistory(revision = this.state.getRevision()): void {
    this.state.dropHistory(revision);
  }

  /** Writes one key regardless of outage, delay and drops. @param value null deletes the key */
  put(key: string, value: string | null): void {
    const bytes = Buffer.from(key);
    const operation =
      value === null
        ? { request_delete_range: { key: bytes } }
        : { request_put: { key: bytes, value: Buffer.from(value) } };
    this.state.applyTransaction({ compare: [], success: [operation], failure: [] });
  }

  /** Returns the number of calls by method. Progress requests of a watch count as `Progress`. */
  getCallCounts(): Readonly<Partial<Record<RpcMethod, number>>> {
    return Object.fromEntries(this.#callCounts);
  }

  /** Returns the number of open watch streams. */
  countWatches(): number {
    return this.#watchers.size;
  }

  #countCall(method: RpcMethod): void {
    this.#callCounts.set(method, (this.#callCounts.get(method) ?? 0) + 1);
  }

  #serve<Request>(
    method: RpcMethod,
    answer: (request: Request) => object | null,
  ): UntypedServiceImplementation[string] {
    return (call: ServerUnaryCall<Request, object>, respond: sendUnaryData<object>) => {
      this.#countCall(method);
      if (this.#hasOutage) {
        respond(NO_LEADER_ERROR);
        return;
      }
      const response = answer(call.request);
      if (WRITE_METHODS.has(method) && this.#answersToDrop > 0) {
        this.#answersToDrop -= 1;
        return;
      }
      this.#sendLater(() => {
        if (response === null) {
          respond({ code: status.NOT_FOUND, details: 'etcdserver: requested lease not found' });
        } else respond(null, response);
      });
    };
  }

  #serveKeepAlive(stream: ServerDuplexStream<{ ID: string }, object>): void {
    stream.on('data', (request: { ID: string }) => {
      this.#countCall('LeaseKeepAlive');
      if (this.#hasOutage) {
        stream.emit('error', NO_LEADER_ERROR);
        return;
      }
      const ttl = this.state.renewLease(request.ID);
      const answer = { header: this.state.getHeader(), ID: request.ID, TTL: String(ttl) };
      this.#sendLater(() => stream.write(answer));
    });
    stream.on('end', () => stream.end());
    stream.on('error', () => stream.end());
  }

  #serveWatch(stream: Watcher['stream']): void {
    const watcher: Watcher = { stream, ranges: new Map(), isStalled: false };
    const remove = (): void => {
      this.#watchers.delete(watcher);
    };
    this.#watchers.add(watcher);
    stream.on('data', (request: EtcdApi['WatchRequest']) =>
      this.#handleWatchRequest(watcher, request),
    );
    stream.on('end', () => stream.end());
    for (const event of ['end', 'cancelled', 'close', 'error']) stream.on(event, remove);
  }

  #handleWatchRequest(watcher: Watcher, request: EtcdApi['WatchRequest']): void {
    if (request.progress_request) {
      this.#countCall('Progress');
      this.#send(watcher, { watch_id: WHOLE_STREAM_WATCH_ID });
    }
    if (request.cancel_request) {
      watcher.ranges.delete(request.cancel_request.watch_id);
      this.#send(watcher, { watch_id: request.cancel_request.watch_id, canceled: true });
    }
    const create = request.create_request;
    if (!create) return;
    this.#countCall('Watch');
    if (this.#hasOutage) {
      watcher.stream.emit('error', NO_LEADER_ERROR);
      return;
    }
    const id = String(this.#nextWatchId);
    this.#nextWatchId += 1;
    const start = Number(create.start_revision ?? 0);
    const rangeEnd = create.range_end ?? Buffer.alloc(0);
    this.#send(watcher, { watch_id: id, created: true });
    if (start > 0 && start <= this.state.getCompactedRevision()) {
      const compacted = String(this.state.getCompactedRevision());
      this.#send(watcher, { watch_id: id, canceled: true, compact_revision: compacted });
      return;
    }
    watcher.ranges.set(id, { key: create.key, rangeEnd });
    if (start === 0) return;
    for (const events of this.state.listEvents(create.key, rangeEnd, start)) {
      this.#send(watcher, { watch_id: id, events });
    }
  }

  #publish(events: readonly EtcdApi['Event'][]): void {
    for (const watcher of this.#watchers) {
      for (const [id, { key, rangeEnd }] of watcher.ranges) {
        const matching = KeyValueState.matchEvents(events, key, rangeEnd);
        if (matching.length > 0) this.#send(watcher, { watch_id: id, events: matching });
      }
    }
  }

  #send(watcher: Watcher, answer: Partial<EtcdApi['WatchResponse']>): void {
    const message = { header: this.state.getHeader(), ...answer } as EtcdApi['WatchResponse'];
    this.#sendLater(() => {
      if (!watcher.isStalled && this.#watchers.has(watcher)) watcher.stream.write(message);
    });
  }

  #sendLater(send: () => void): void {
    if (this.#answerDelayMs === 0) send();
    else setTimeout(send, this.#answerDelayMs);
  }
}
