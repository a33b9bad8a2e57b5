import {
  Metadata,
  status,
  type CallOptions,
  type Client,
  type ClientDuplexStream,
  type ServiceError,
} from '@grpc/grpc-js';
import {
  Era,
  Ok,
  Revision,
  fail,
  type Clock,
  type CommitResult,
  type Failure,
  type Result,
  type Store,
  type StorePosition,
  type StoreRecord,
  type StoreTransaction,
  type StoreWatchListener,
} from '@limpetbay/core';
import type { EtcdApi } from './EtcdApi.js';
import { EtcdConnection } from './EtcdConnection.js';
import { EtcdWatch } from './EtcdWatch.js';
import { getPrefixEnd } from './getPrefixEnd.js';
import { loadEtcdServices } from './loadEtcdServices.js';

interface EtcdStoreOptions {
  /** `IP:PORT` of the store. */
  readonly address: string;
  readonly clock: Clock;
  /** Timeout of a call, milliseconds. */
  readonly timeoutMs?: number;
  /** Maximum time without any message before a watch ends, milliseconds. */
  readonly progressTimeoutMs?: number;
  /** Interval of progress requests on a watch, milliseconds. */
  readonly progressIntervalMs?: number;
}

type UnaryMethod = (
  request: object,
  metadata: Metadata,
  options: CallOptions,
  respond: (error: ServiceError | null, response?: object) => void,
) => void;

const DEFAULT_TIMEOUT_MS = 1000;
/** A watch must show progress at least every 2 s (section 11 of the design page). */
const DEFAULT_PROGRESS_TIMEOUT_MS = 2000;
/** A quarter of the progress timeout, so that a single late answer does not end a watch. */
const DEFAULT_PROGRESS_INTERVAL_MS = 500;
const MS_PER_SECOND = 1000;

/** Status codes that mean that the store did not apply a write. */
const REJECTION_STATUSES: ReadonlySet<status> = new Set([
  status.INVALID_ARGUMENT,
  status.NOT_FOUND,
  status.ALREADY_EXISTS,
  status.PERMISSION_DENIED,
  status.FAILED_PRECONDITION,
  status.OUT_OF_RANGE,
  status.UNIMPLEMENTED,
  status.UNAUTHENTICATED,
]);

/** Error details of etcd that also mean that the store did not apply a write. */
const REJECTION_DETAILS: ReadonlySet<string> = new Set([
  'etcdserver: no leader',
  'etcdserver: too many requests',
]);

/** Client of the platform's key-value store, which has the etcd v3 gRPC API. */
export class EtcdStore implements Store {
  readonly #options: Required<EtcdStoreOptions>;

  readonly #services = loadEtcdServices();

  readonly #watches = new Set<EtcdWatch>();

  #connection: EtcdConnection;

  constructor(options: EtcdStoreOptions) {
    this.#options = {
      timeoutMs: DEFAULT_TIMEOUT_MS,
      progressTimeoutMs: DEFAULT_PROGRESS_TIMEOUT_MS,
      progressIntervalMs: DEFAULT_PROGRESS_INTERVAL_MS,
      ...options,
    };
    this.#connection = this.#connect();
  }

  async read(
    key: string,
  ): Promise<Result<{ readonly record: StoreRecord | null } & StorePosition, Failure>> {
    const answer = await this.#readRange({ key: Buffer.from(key) });
    if (answer.err) return answer;
    const { records, ...position } = answer.val;
    return Ok({ record: records[0] ?? null, ...position });
  }

  async readPrefix(
    prefix: string,
  ): Promise<Result<{ readonly records: StoreRecord[] } & StorePosition, Failure>> {
    return this.#readRange({ key: Buffer.from(prefix), range_end: getPrefixEnd(prefix) });
  }

  async commit(transaction: StoreTransaction): Promise<Result<CommitResult, Failure>> {
    const { conditions, writes, era } = transaction;
    const request: EtcdApi['TxnRequest'] = {
      compare: conditions.map(({ key, revision }) => ({
        result: 'EQUAL',
        target: 'MOD',
        key: Buffer.from(key),
        mod_revision: String(revision),
      })),
      success: writes.map(({ key, value, lease }) => {
        const bytes = Buffer.from(key);
        if (value === null) return { request_delete_range: { key: bytes } };
        return { request_put: { key: bytes, value: Buffer.from(value), lease: lease ?? '0' } };
      }),
      failure: conditions.map(({ key }) => ({ request_range: { key: Buffer.from(key) } })),
    };
    const answer = await this.#send<EtcdApi['TxnResponse']>('kv', 'Txn', request, true);
    if (answer.err) return answer;
    const { header, succeeded, responses } = answer.val;
    const position = EtcdStore.#readPosition(header);
    if (era !== undefined && era !== position.era) {
      return fail('outcome_unknown', 'store: Txn: the store was restored before it was applied');
    }
    const current: StoreRecord[] = [];
    for (const { response_range: range } of succeeded ? [] : responses) {
      for (const kv of range?.kvs ?? []) current.push(EtcdStore.#readRecord(kv));
    }
    return Ok({ committed: succeeded, ...position, current });
  }

  watch(prefix: string, from: StorePosition, listener: StoreWatchListener): () => void {
    const { clock, progressIntervalMs, progressTimeoutMs } = this.#options;
    const removeWatch = (): void => {
      this.#watches.delete(watch);
    };
    const watch = new EtcdWatch({
      connection: this.#connect(),
      clock,
      prefix,
      from,
      progressIntervalMs,
      progressTimeoutMs,
      listener: {
        onChange: (change) => listener.onChange(change),
        onProgress: (revision) => listener.onProgress(revision),
        onEnd: (reason) => {
          removeWatch();
          listener.onEnd(reason);
        },
      },
    });
    this.#watches.add(watch);
    return () => {
      removeWatch();
      watch.stop();
    };
  }

  async grantLease(ttlMs: number): Promise<Result<{ lease: string; ttlMs: number }, Failure>> {
    const request = { TTL: String(Math.ceil(ttlMs / MS_PER_SECOND)), ID: '0' };
    const answer = await this.#send<EtcdApi['LeaseGrantResponse']>(
      'lease',
      'LeaseGrant',
      request,
      true,
    );
    if (answer.err) return answer;
    return Ok({ lease: answer.val.ID, ttlMs: Number(answer.val.TTL) * MS_PER_SECOND });
  }

  async renewLease(lease: string): Promise<Result<{ ttlMs: number }, Failure>> {
    const answer = await this.#sendKeepAlive(lease);
    if (answer.err) return answer;
    const ttlMs = Number(answer.val.TTL) * MS_PER_SECOND;
    return ttlMs > 0 ? Ok({ ttlMs }) : fail('stale_epoch', `lease ${lease} has expired`);
  }

  /** Revokes a lease. Succeeds also if the lease no longer exists. */
  async revokeLease(lease: string): Promise<Result<void, Failure>> {
    const answer = await this.#send('lease', 'LeaseRevoke', { ID: lease }, true);
    if (answer.ok || answer.val.kind === 'stale_epoch') return Ok(undefined);
    return answer;
  }

  /** Ends all watches and closes the connections. */
  close(): void {
    for (const watch of this.#watches) watch.stop();
    this.#watches.clear();
    this.#connection.close();
  }

  #connect(): EtcdConnection {
    const { address, clock } = this.#options;
    return new EtcdConnection({ services: this.#services, address, clock });
  }

  async #readRange(
    request: EtcdApi['RangeRequest'],
  ): Promise<Result<{ readonly records: StoreRecord[] } & StorePosition, Failure>> {
    const answer = await this.#send<EtcdApi['RangeResponse']>('kv', 'Range', request, false);
    if (answer.err) return answer;
    const records = answer.val.kvs.map((kv) => EtcdStore.#readRecord(kv));
    return Ok({ records, ...EtcdStore.#readPosition(answer.val.header) });
  }

  async #send<Response>(
    service: 'kv' | 'lease',
    method: string,
    request: object,
    isWrite: boolean,
  ): Promise<Result<Response, Failure>> {
    return this.#call<Response>(method, isWrite, (connection, metadata, options, respond) => {
      const client = connection[service] as Client & Record<string, UnaryMethod>;
      client[method]?.(request, metadata, options, (error, response) =>
        respond(error, response as Response),
      );
    });
  }

  async #sendKeepAlive(lease: string): Promise<Result<EtcdApi['LeaseKeepAliveResponse'], Failure>> {
    type Stream = ClientDuplexStream<{ ID: string }, EtcdApi['LeaseKeepAliveResponse']>;
    return this.#call<EtcdApi['LeaseKeepAliveResponse']>(
      'LeaseKeepAlive',
      true,
      (connection, metadata, options, respond) => {
        const client = connection.lease as unknown as {
          LeaseKeepAlive: (metadata: Metadata, options: CallOptions) => Stream;
        };
        const stream = client.LeaseKeepAlive(metadata, options);
        stream.on('data', (response: EtcdApi['LeaseKeepAliveResponse']) => {
          respond(null, response);
          stream.end();
        });
        stream.on('error', (error: ServiceError) => respond(error));
        stream.write({ ID: lease });
      },
    );
  }

  async #call<Response>(
    method: string,
    isWrite: boolean,
    send: (
      connection: EtcdConnection,
      metadata: Metadata,
      options: CallOptions,
      respond: (error: ServiceError | null, response?: Response) => void,
    ) => void,
  ): Promise<Result<Response, Failure>> {
    const { timeoutMs } = this.#options;
    const connection = this.#connection;
    const deadline = Date.now() + timeoutMs;
    if (!(await connection.waitReady(timeoutMs))) {
      return fail('store_unavailable', `store: ${method} was not sent: no connection`);
    }
    const metadata = new Metadata();
    // Makes the store reject the call at once, without effect, while it has no leader.
    metadata.set('hasleader', 'true');
    return new Promise((resolve) => {
      connection.recordSent();
      send(connection, metadata, { deadline }, (error, response) => {
        connection.recordAnswer(error?.code ?? status.OK);
        if (error === null && response !== undefined) {
          resolve(Ok(response));
          return;
        }
        this.#replaceUnresponsive(connection);
        resolve(EtcdStore.#explainError(method, isWrite, error));
      });
    });
  }

  /** Replaces the connection for calls if it left calls unanswered for half the timeout. */
  #replaceUnresponsive(connection: EtcdConnection): void {
    const { clock, timeoutMs, progressTimeoutMs } = this.#options;
    if (connection !== this.#connection || connection.getUnansweredMs() < timeoutMs / 2) return;
    // Otherwise every call to a slow store would open a new connection.
    if (clock.getNow() - connection.openedAt < progressTimeoutMs) return;
    this.#connection = this.#connect();
    connection.close();
  }

  static #explainError(
    method: string,
    isWrite: boolean,
    error: ServiceError | null,
  ): Result<never, Failure> {
    const details = error?.details ?? 'empty answer';
    if (error?.code === status.NOT_FOUND) {
      return fail('stale_epoch', `store: ${method}: ${details}`);
    }
    const isRejected =
      error !== null &&
      (REJECTION_STATUSES.has(error.code) || REJECTION_DETAILS.has(error.details));
    if (!isWrite || isRejected) return fail('store_unavailable', `store: ${method}: ${details}`);
    return fail('outcome_unknown', `store: ${method} may have taken effect: ${details}`);
  }

  static #readPosition(header: EtcdApi['RangeResponse']['header']): StorePosition {
    return {
      era: Era.parse(header.cluster_id),
      revision: Revision.parse(Number(header.revision)),
    };
  }

  static #readRecord(kv: EtcdApi['KeyValue']): StoreRecord {
    return {
      key: kv.key.toString(),
      value: kv.value.toString(),
      revision: Revision.parse(Number(kv.mod_revision)),
    };
  }
}
