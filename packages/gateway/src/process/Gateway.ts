import { getHeapStatistics } from 'node:v8';
import {
  DirectServer,
  type ClosedRequest,
  type DirectAnswer,
  type DirectHandler,
} from '@limpetbay/callers';
import {
  AnswerBudget,
  BodyBudget,
  computeAnswerBytes,
  computeBodyBytes,
  computeInputBytes,
  computeServiceConnections,
  splitAddress,
  type RequestHead,
  type RouteExplanation,
  type RouteQuery,
} from '@limpetbay/core';
import { PeerSocket } from '@limpetbay/rpc';
import {
  IgnoredRecordLog,
  InputLimits,
  SocketErrorLog,
  TrafficCounter,
  type Log,
} from '@limpetbay/runtime';
import { DirectPool, checkListener } from '@limpetbay/targets';
import { CountedWarning } from './CountedWarning.js';
import { EntryCore } from './EntryCore.js';
import { computeCallerConnections } from './computeCallerConnections.js';
import type { GatewayLimits } from './GatewayLimits.js';
import type { GatewayOptions } from './GatewayOptions.js';

/** Largest request body before the first configuration. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/**
 * Share of the heap for the heads of all open requests. A head takes about three times its bytes,
 * since it is sent on to a target.
 */
const HEAD_SHARE = 0.1;

/** Interval at which a stopping entry checks whether it may continue to stop. */
const STOP_POLL_INTERVAL_MS = 100;

/** After this time without a new request, a stopping entry assumes that no caller uses it. */
const NO_REQUESTS_MS = 1500;

/** The server closes at the latest this long before the platform kills the process. */
const CLOSE_MARGIN_MS = 2000;

/** Every request is answered at the latest this long before the platform kills the process. */
const ANSWER_MARGIN_MS = 600;

/** Answers may be written until this long before the platform kills the process. */
const DRAIN_MARGIN_MS = 400;

/** Most requests that the last line of a stop names. */
const MAX_NAMED_REQUESTS = 20;

/** An entry that sends the requests of its callers directly to targets. */
export class Gateway implements DirectHandler {
  readonly #options: GatewayOptions;

  #limits: GatewayLimits;

  readonly #log: Log;

  readonly #connectionsLog: Log;

  readonly #core: EntryCore;

  readonly #server: DirectServer;

  readonly #socket: PeerSocket;

  readonly #bodyBudget: BodyBudget;

  /** Answers that callers have not read. */
  readonly #answerBudget: AnswerBudget;

  readonly #inputs: InputLimits;

  #lastRequestMs = 0;

  readonly #refusedWarning: CountedWarning;

  readonly #unkeptWarning: CountedWarning;

  /** Until when callers may keep an address that they were told under earlier limits. */
  #earlierExpiryMs = -Infinity;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#limits = options.limits;
    const { clock, codec, metrics, createLog } = options;
    this.#log = createLog('entry');
    this.#connectionsLog = createLog('connections');
    this.#refusedWarning = new CountedWarning(
      clock,
      this.#log,
      'caller connections refused; too many are open',
    );
    this.#unkeptWarning = new CountedWarning(
      clock,
      this.#log,
      'caller connections closed after their answers; many are open',
    );
    const bodyBudget = new BodyBudget(DEFAULT_MAX_BODY_BYTES, clock);
    this.#bodyBudget = bodyBudget;
    this.#answerBudget = new AnswerBudget(bodyBudget, clock);
    this.#inputs = options.inputs ?? new InputLimits({ clock });
    const ignored = new IgnoredRecordLog({ clock, log: this.#log, metrics, component: 'entry' });
    this.#core = new EntryCore({
      ...options,
      network: {
        openPool: (address) => new DirectPool(address, clock),
        checkListener,
        sendToPeers: (message, addresses) => this.#socket.send(message, addresses),
      },
      bodyBudget,
      answerBudget: this.#answerBudget,
      onConfig: ({ config }) =>
        this.#server.setTimeouts(config.idleTimeoutMs, config.headTimeoutMs),
    });
    const errors = new SocketErrorLog({ clock, log: this.#log, metrics });
    const traffic = new TrafficCounter(metrics);
    this.#socket = new PeerSocket({
      ...splitAddress(options.self.peerAddress),
      onTraffic: (direction, kind, bytes) => traffic.record(direction, kind, bytes),
      onMessage: (message, from) => this.#core.handlePeerMessage(message, from),
      onInvalid: (address, cause) => ignored.report('datagram', address, cause),
      onError: (cause) =>
        errors.report('datagrams', 'datagram failed', { cause, next: 'later messages are sent' }),
    });
    this.#server = new DirectServer({
      ...splitAddress(options.self.callerAddress),
      handler: this,
      readHead: (message) => codec.readRequest(message),
      getMaxBodyBytes: () => this.#core.getTable()?.config.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      bodyBudget,
      answerBudget: this.#answerBudget,
      inputs: this.#inputs,
      clock,
      onClosed: (closed) => this.#reportClosed(closed),
      maxHeadBytes: getHeapStatistics().heap_size_limit * HEAD_SHARE,
      onAnswerDropped: (dropped) => {
        metrics.increase(`limpetbay_dropped_answers_total{cause="${dropped.cause}"}`);
        this.#log.warn('answer broken off; its caller did not read it in time', { ...dropped });
      },
      onConnectionDropped: () => {
        metrics.increase('limpetbay_refused_connections_total');
        this.#refusedWarning.add();
      },
      onConnectionUnkept: () => {
        metrics.increase('limpetbay_unkept_connections_total');
        this.#unkeptWarning.add();
      },
    });
    this.#applyLimits(options.limits);
    this.#registerGauges(bodyBudget);
  }

  /**
   * Starts to follow the store and to bind the addresses. The entry is ready only once callers can
   * connect; it works without datagrams until they can be exchanged.
   *
   * @throws the error of a bind if it is not expected to pass
   */
  async start(): Promise<void> {
    const { binder, self } = this.#options;
    this.#core.setAccepting(false);
    await binder.bind({
      name: 'callers',
      address: self.callerAddress,
      bind: (onError) => this.#server.bind(onError),
      onBound: () => {
        this.#core.setAccepting(true);
        this.#log.report('started', { address: self.callerAddress });
      },
    });
    await binder.bind({
      name: 'datagrams',
      address: self.peerAddress,
      bind: () => this.#socket.bind(),
    });
    this.#core.start();
  }

  /** Changes the limits of the deployment; a stop in progress keeps those with which it began. */
  setLimits(limits: GatewayLimits): void {
    const expiryMs = this.#options.clock.getNow() + this.#limits.addressTtlMs;
    this.#earlierExpiryMs = Math.max(this.#earlierExpiryMs, expiryMs);
    this.#limits = limits;
    this.#core.setLimits(limits);
    this.#applyLimits(limits);
  }

  /** Returns whether this entry can serve callers. */
  isReady(): boolean {
    return this.#core.isReady();
  }

  /** Lists the addresses of entries for callers; includes this entry if it is ready. */
  listAddresses(): string[] {
    return this.#core.listAddresses();
  }

  /** Explains where a request would go now, without sending it. */
  explain(query: RouteQuery): RouteExplanation {
    return this.#core.explain(query);
  }

  acceptRequest(
    head: RequestHead,
    body: Buffer,
    answer: DirectAnswer,
    receivedMs: number,
  ): () => void {
    this.#lastRequestMs = this.#options.clock.getNow();
    return this.#core.acceptRequest(head, body, answer, receivedMs);
  }

  /**
   * Stops gracefully: withdraws the registration at once, but serves open and new requests until
   * no more arrive or the grace period ends. An entry to which no caller could connect stops at once.
   */
  async stop(): Promise<void> {
    const startMs = this.#options.clock.getNow();
    this.#options.binder.close();
    this.#lastRequestMs = startMs;
    this.#server.drain();
    this.#log.report('stopping', { requests: this.#server.countRequests() });
    const forcedEndMs = startMs + this.#limits.graceMs;
    const answerDeadlineMs = forcedEndMs - ANSWER_MARGIN_MS;
    this.#core.beginStop(answerDeadlineMs);
    if (!this.#core.isAccepting()) {
      this.#close();
      return;
    }
    const addressExpiryMs = Math.max(startMs + this.#limits.addressTtlMs, this.#earlierExpiryMs);
    await this.#waitUntil(forcedEndMs - CLOSE_MARGIN_MS, (nowMs) => {
      const hasNoNewRequests = nowMs - this.#lastRequestMs > NO_REQUESTS_MS;
      return this.#server.countRequests() === 0 && hasNoNewRequests && nowMs > addressExpiryMs;
    });
    this.#server.close();
    await this.#waitUntil(answerDeadlineMs, () => this.#server.countRequests() === 0);
    this.#server.refuseIncompleteRequests();
    await this.#waitUntil(forcedEndMs - DRAIN_MARGIN_MS, () => this.#server.countRequests() === 0);
    this.#close();
  }

  #close(): void {
    this.#reportOpenRequests();
    this.#core.close();
    this.#socket.close();
    this.#log.report('stopped', { requests: this.#server.countRequests() });
  }

  #registerGauges(bodyBudget: BodyBudget): void {
    const gauges = {
      limpetbay_open_caller_connections: () => this.#server.countConnections(),
      limpetbay_open_requests: () => this.#server.countRequests(),
      limpetbay_open_target_connections: () => this.#core.countTargetConnections(),
      limpetbay_open_body_bytes: () => bodyBudget.countBytes(),
      limpetbay_body_limit_bytes: () => bodyBudget.getMaxBytes(),
      limpetbay_dropped_bodies: () => bodyBudget.countEvictions(),
      limpetbay_open_answer_bytes: () => this.#answerBudget.countBytes(),
      limpetbay_answer_limit_bytes: () => this.#answerBudget.getMaxBytes(),
      limpetbay_held_configs: () => this.#core.getHeldTables().count(),
      limpetbay_held_config_bytes: () => this.#core.getHeldTables().countBytes(),
      limpetbay_open_unsent_bytes: () => this.#server.countUnsentBytes(),
    };
    for (const [name, read] of Object.entries(gauges)) this.#options.metrics.register(name, read);
  }

  #reportClosed({ progress, ...closed }: ClosedRequest): void {
    const { metrics } = this.#options;
    metrics.increase(`limpetbay_connections_closed_total{cause="${closed.cause}"}`);
    if (progress === 'answered') {
      this.#connectionsLog.warn('request refused before it was complete', closed);
    } else {
      const fields = { ...closed, progress };
      this.#connectionsLog.warn('connection closed without a complete answer', fields);
    }
  }

  /** Names the requests whose connections end with the process. */
  #reportOpenRequests(): void {
    const open = this.#server.listOpenRequests();
    if (open.length === 0) return;
    this.#log.warn('stopping with open requests; their connections are closed', {
      count: open.length,
      requests: open.slice(0, MAX_NAMED_REQUESTS),
    });
  }

  #applyLimits({ memoryLimitBytes = null, maxDescriptors }: GatewayLimits): void {
    const heapBytes = getHeapStatistics().heap_size_limit;
    const bodyBytes = computeBodyBytes(memoryLimitBytes, heapBytes);
    this.#bodyBudget.setMaxBytes(bodyBytes);
    this.#answerBudget.setMaxBytes(computeAnswerBytes(bodyBytes));
    const maxServiceConnections =
      maxDescriptors === undefined ? Infinity : computeServiceConnections(maxDescriptors);
    this.#inputs.setLimits(computeInputBytes(memoryLimitBytes, heapBytes), maxServiceConnections);
    if (maxDescriptors === undefined) return;
    this.#server.setMaxConnections(computeCallerConnections(maxDescriptors));
  }

  async #waitUntil(latestMs: number, isDone: (nowMs: number) => boolean): Promise<void> {
    const { clock, timers } = this.#options;
    while (clock.getNow() < latestMs && !isDone(clock.getNow())) {
      await new Promise<void>((resolve) => {
        timers.schedule(STOP_POLL_INTERVAL_MS, resolve);
      });
    }
  }
}
