import { randomUUID } from 'node:crypto';
import {
  answerTable,
  CapacityEstimator,
  ProgressMonitor,
  chooseFailureKind,
  decideRetry,
  fail,
  isRepeatable,
  type AnswerAssembler,
  type AnswerEvent,
  type Failure,
  type InstanceRecord,
  type LoadReport,
  type RequestId,
  type TargetId,
} from '@limpetbay/core';
import { createEventLoop, type EventLoop } from '@limpetbay/runtime';
import type { CallerAnswer, CallerHandler, CallerRequest } from '@limpetbay/callers';
import { buildHeaders } from '../request/buildHeaders.js';
import { checkRequest } from '../request/checkRequest.js';
import { computeCost } from '../request/computeCost.js';
import { RequestRun } from '../request/RequestRun.js';
import { RequestHandle } from '../request/RequestHandle.js';
import { hashPrefixes } from '../request/hashPrefixes.js';
import { describeEntries } from '../view/describeEntries.js';
import { listRouteTargets } from '../view/listRouteTargets.js';
import type { EntryEvent } from './EntryEvent.js';
import type { EntryOptions } from './EntryOptions.js';

type FailedEvent = Extract<AnswerEvent, { type: 'failed' }>;

/** Time that an agent has after the deadline to report it before the entry fails the request. */
const DEADLINE_REPORT_GRACE_MS = 250;

/** Interval at which a stream that waits to be resumed looks for a target. */
const RESUME_INTERVAL_MS = 100;

/** Routes callers' requests to agents and forwards the answers; retries failed attempts. */
export class Entry implements CallerHandler {
  readonly #options: EntryOptions;

  readonly #loop: EventLoop<EntryEvent>;

  readonly #runs = new Set<RequestRun>();

  /** Requests with an attempt in progress, by `streamKey`. */
  readonly #runsByStream = new Map<string, RequestRun>();

  /** Addresses of the agents, by their target. */
  readonly #addresses = new Map<TargetId, string>();

  readonly #unsubscribeConfig: () => void;

  #isLeaving = false;

  #isAccepting = true;

  readonly #progress: ProgressMonitor;

  readonly #capacity: CapacityEstimator;

  #addressTtlMs: number;

  #callerUrl: string;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#callerUrl = options.callerUrl;
    this.#addressTtlMs = options.timing.addressTtlMs;
    this.#capacity = new CapacityEstimator(options.clock);
    this.#progress = new ProgressMonitor(options.clock, options.timing.tickMs);
    this.#loop = createEventLoop<EntryEvent>({
      handle: (event) => this.#handle(event),
      onError: (event, error) => {
        options.log.alert('event failed', { event: event.type, error: String(error) });
      },
      tick: { type: 'tick' },
      tickMs: options.timing.tickMs,
    });
    this.#unsubscribeConfig = options.config.subscribe(() => this.#loop.push({ type: 'config' }));
    this.#loop.push({ type: 'config' });
    options.metrics.register('limpetbay_entry_in_progress', () => this.#runs.size);
    options.metrics.register('limpetbay_entry_retry_budget', () => options.budget.getTokens());
  }

  acceptRequest(request: CallerRequest, answer: CallerAnswer): () => void {
    if (!this.#isAccepting) {
      answer.fail(fail('leaving', 'this entry is stopping; use another one', 0).val);
      return () => {};
    }
    const handle = new RequestHandle();
    this.#loop.push({ type: 'request', request, answer, handle });
    return () => this.#loop.push({ type: 'caller_gone', handle });
  }

  /** Sets the base URL of this entry in the answer of `GET /v1/entries`. */
  setCallerUrl(callerUrl: string): void {
    this.#callerUrl = callerUrl;
  }

  /** Changes how long callers may cache the answer of `GET /v1/entries`, milliseconds. */
  setAddressTtl(addressTtlMs: number): void {
    this.#addressTtlMs = addressTtlMs;
  }

  describeEntries(): object {
    const { config } = this.#options;
    return describeEntries(config.listInstances(), this.#describeSelf(), this.#addressTtlMs);
  }

  describeHealth(): { readonly ready: boolean; readonly body: object } {
    const documents = this.#options.config.listDocuments();
    const ready = documents.length > 0 && !this.#isLeaving;
    const services = documents.map(({ name, revision }) => ({ name, revision }));
    return {
      ready,
      body: { ready, leaving: this.#isLeaving, in_progress: this.#runs.size, services },
    };
  }

  formatMetrics(): string {
    return this.#options.metrics.format();
  }

  isLeaving(): boolean {
    return this.#isLeaving;
  }

  /**
   * Reports this entry as leaving, so that callers use other entries. Requests that still arrive
   * are served.
   */
  startLeaving(): void {
    this.#isLeaving = true;
    this.#options.log.report('leaving', { in_progress: this.#runs.size });
  }

  /** Refuses all further requests, so that those in progress are the last ones. */
  stopAccepting(): void {
    this.#isAccepting = false;
  }

  /**
   * Returns the time until every request in progress has ended by its deadline, milliseconds; 0 if
   * there is none.
   */
  getLongestTimeLeftMs(): number {
    const nowMs = this.#options.clock.getNow();
    let longestMs = 0;
    for (const { deadlineAtMs } of this.#runs) {
      longestMs = Math.max(longestMs, deadlineAtMs - nowMs + DEADLINE_REPORT_GRACE_MS);
    }
    return longestMs;
  }

  countRequests(): number {
    return this.#runs.size;
  }

  /** Stops the event loop and closes the connections; requests in progress are not answered. */
  stop(): void {
    this.#unsubscribeConfig();
    this.#loop.stop();
    this.#options.connectionPool.close();
  }

  #handle(event: EntryEvent): void {
    switch (event.type) {
      case 'request':
        this.#handleRequest(event.request, event.answer, event.handle);
        break;
      case 'caller_gone':
        this.#handleCallerDisconnect(event.handle);
        break;
      case 'frame': {
        const { run, assembler, frame } = event;
        if (run.currentAttempt?.assembler !== assembler) break;
        this.#progress.recordProgress(run.streamKey);
        this.#options.router.recordFrame(run.currentAttempt.decision.target);
        const answerEvent = assembler.handleFrame(frame);
        if (answerEvent !== null) this.#handleAnswerEvent(run, answerEvent);
        break;
      }
      case 'attempt_ended':
        this.#handleAttemptEnd(event.run, event.assembler, event.reason, event.neverSent);
        break;
      case 'retry':
        if (!event.run.isEnded) this.#sendAttempt(event.run);
        break;
      case 'probed':
        if (event.load !== null) this.#options.router.handleLoad(event.load);
        this.#options.router.recordProbe(event.target, event.load !== null);
        break;
      case 'config':
        this.#applyConfig();
        break;
      default:
        this.#tick();
    }
  }

  #handleRequest(request: CallerRequest, answer: CallerAnswer, handle: RequestHandle): void {
    const { budget, clock, config, limiter, metrics } = this.#options;
    metrics.increase('limpetbay_entry_requests');
    const versioned = config.getDocument(request.service);
    const document = versioned?.document ?? null;
    if (versioned === null || document === null) {
      const isReady = config.listDocuments().length > 0;
      const message = `no document is available for service ${request.service}`;
      this.#reject(answer, fail(isReady ? 'unknown_service' : 'not_ready', message, 1000).val);
      return;
    }
    const timeLimit = checkRequest(request, document);
    if (timeLimit.err) {
      this.#reject(answer, timeLimit.val);
      return;
    }
    const admitted = limiter.admit(request.workspace, computeCost(request));
    if (admitted.err) {
      this.#reject(answer, admitted.val);
      return;
    }
    budget.recordRequest();
    const run = new RequestRun({
      id: randomUUID() as string as RequestId,
      request,
      answer,
      repeatable: isRepeatable(document, request.method, request.path),
      resumable: document.service.kind === 'model' && request.stream,
      deadlineAtMs: clock.getNow() + timeLimit.val,
      configRevision: versioned.revision,
      prefixHashes: hashPrefixes(request.prompt),
    });
    handle.setRun(run);
    this.#runs.add(run);
    if (handle.isDisconnected) this.#handleCallerDisconnect(handle);
    else this.#sendAttempt(run);
  }

  #reject(answer: CallerAnswer, failure: Failure): void {
    if (failure.kind === 'overloaded') this.#capacity.recordRefusal();
    this.#options.metrics.increase(`limpetbay_entry_failures{kind="${failure.kind}"}`);
    answer.fail(failure);
  }

  #sendAttempt(run: RequestRun): void {
    const { connectionPool, clock, log, router, timing } = this.#options;
    const { request, prefixHashes, tried } = run;
    const nowMs = clock.getNow();
    const cost = { promptTokens: request.promptTokens, maxTokens: request.maxTokens, prefixHashes };
    const query = {
      service: request.service,
      workspace: request.workspace,
      priority: request.priority,
      deadlineMs: run.deadlineAtMs - nowMs,
      repeatable: run.repeatable,
      ...cost,
    };
    let picked = router.pick({ ...query, tried });
    const isResumed = run.answer.isStarted();
    if (picked.err && picked.val.kind === 'no_target' && (run.canRetryFailedTargets || isResumed)) {
      // Every target has failed once, and their stalled connections have been replaced since. A
      // target that refused a stream may serve again by now.
      picked = router.pick({ ...query, tried: new Set() });
    }
    if (picked.err && picked.val.kind === 'no_target' && isResumed) {
      this.#waitForTarget(run);
      return;
    }
    if (picked.err) {
      // The failure of the last attempt says more than that no target is left.
      const failure = this.#chooseNoTargetFailure(run, picked.val);
      const kind = chooseFailureKind(failure.kind, run.repeatable, run.mayHaveRun);
      this.#failRequest(run, { ...failure, kind });
      return;
    }
    const decision = picked.val;
    const address = this.#addresses.get(decision.target)!;
    const attempt = run.buildAttempt(decision, nowMs);
    log.report('routed request', {
      request: run.id,
      attempt: attempt.attempt,
      target: decision.target,
      reason: decision.reason,
    });
    const assembler = run.startAttempt(decision, address);
    this.#runsByStream.set(run.streamKey, run);
    this.#progress.add(run.streamKey, address, timing.progressTimeoutMs);
    router.recordSend(decision, cost);
    const cancel = connectionPool.open(address).send(attempt, {
      onFrame: (frame) => this.#loop.push({ type: 'frame', run, assembler, frame }),
      onEnd: (reason, neverSent) => {
        this.#loop.push({ type: 'attempt_ended', run, assembler, reason, neverSent });
      },
    });
    run.setCancel(cancel);
  }

  /**
   * Resumes a stream later, until its deadline. Its caller has a part of the answer, so a failure
   * now would lose it; a request without an answer is refused at once, because its caller can use
   * another entry.
   */
  #waitForTarget(run: RequestRun): void {
    this.#options.metrics.increase('limpetbay_entry_resume_waits');
    setTimeout(() => this.#loop.push({ type: 'retry', run }), RESUME_INTERVAL_MS);
  }

  #chooseNoTargetFailure(run: RequestRun, failure: Failure): Failure {
    if (failure.kind === 'no_target') return run.lastFailure ?? failure;
    if (failure.kind !== 'unknown_service') return failure;
    // The service has a document, but none of its targets is in the instance list.
    return { ...failure, kind: 'no_target' };
  }

  #handleAnswerEvent(run: RequestRun, event: AnswerEvent): void {
    switch (event.type) {
      case 'accepted':
        this.#options.router.handleLoad(event.load);
        break;
      case 'head':
        if (!run.answer.isStarted()) run.answer.start(event.status, buildHeaders(run, event));
        break;
      case 'bytes':
        run.answer.write(event.data);
        break;
      case 'complete':
        this.#completeRequest(run, event.load);
        break;
      case 'failed':
        this.#retryOrFail(run, event);
        break;
      default:
    }
  }

  #completeRequest(run: RequestRun, load: LoadReport): void {
    const { clock, metrics, router } = this.#options;
    const { decision } = run.currentAttempt!;
    router.handleLoad(load);
    router.recordFinish(decision, 'complete');
    this.#capacity.recordCompletion(computeCost(run.request));
    metrics.increase('limpetbay_entry_completed');
    metrics.record('limpetbay_entry_time_left_ms', run.deadlineAtMs - clock.getNow());
    this.#endAttempt(run, true);
    run.answer.end();
    this.#endRequest(run);
  }

  #retryOrFail(run: RequestRun, event: FailedEvent, wasSent = true): void {
    const { budget, clock, log, metrics, random, router } = this.#options;
    const { decision } = run.currentAttempt!;
    const { failure } = event;
    const end = wasSent ? event.end : 'unsent';
    const hasNotRun =
      end === 'unsent' || (end === 'refused' && answerTable[failure.kind].run === 'no');
    if (event.load !== null) router.handleLoad(event.load);
    router.recordFinish(decision, failure.kind, wasSent);
    const { mayHaveRun } = run;
    this.#endAttempt(run, !hasNotRun);
    run.recordFailure(failure);
    const next = decideRetry(
      {
        end,
        failure,
        repeatable: run.repeatable,
        keyed: run.request.idempotencyKey !== '',
        mayHaveRun,
        bytesSent: run.answer.isStarted(),
        resumable: run.resumable,
        attempts: run.attemptCount,
        deadlineMs: run.deadlineAtMs - clock.getNow(),
      },
      budget,
      random,
    );
    metrics.increase(`limpetbay_entry_attempts_failed{kind="${failure.kind}"}`);
    log.report('attempt failed', {
      request: run.id,
      attempt: run.attemptCount,
      target: decision.target,
      kind: failure.kind,
      next: next.action,
      reason: next.reason,
    });
    if (next.action === 'fail') {
      this.#failRequest(run, next.failure);
      return;
    }
    metrics.increase('limpetbay_entry_retries');
    setTimeout(() => this.#loop.push({ type: 'retry', run }), next.delayMs);
  }

  #handleAttemptEnd(
    run: RequestRun,
    assembler: AnswerAssembler,
    reason: string,
    neverSent: boolean,
  ): void {
    if (run.currentAttempt?.assembler !== assembler) return;
    const answerEvent = assembler.handleBreak('broken');
    if (answerEvent?.type !== 'failed') return;
    const failure = neverSent
      ? fail('not_ready', `could not connect to the agent: ${reason}`).val
      : { ...answerEvent.failure, message: `${answerEvent.failure.message}: ${reason}` };
    this.#retryOrFail(run, { ...answerEvent, failure }, !neverSent);
  }

  #failRequest(run: RequestRun, failure: Failure): void {
    this.#options.log.report('request failed', {
      request: run.id,
      kind: failure.kind,
      run: answerTable[failure.kind].run,
      reason: failure.message,
    });
    this.#reject(run.answer, failure);
    this.#endRequest(run);
  }

  #endRequest(run: RequestRun): void {
    run.end();
    this.#runs.delete(run);
  }

  #handleCallerDisconnect(handle: RequestHandle): void {
    handle.markDisconnected();
    const { run } = handle;
    if (run === null || run.isEnded) return;
    if (run.currentAttempt !== null) {
      this.#options.router.recordFinish(run.currentAttempt.decision, 'cancelled');
      this.#endAttempt(run, true);
    }
    this.#options.metrics.increase('limpetbay_entry_cancelled');
    this.#endRequest(run);
  }

  #tick(): void {
    for (const { stream, replaceChannel } of this.#progress.poll()) {
      const run = this.#runsByStream.get(stream);
      if (run !== undefined) this.#failStalledAttempt(run, replaceChannel);
    }
    const nowMs = this.#options.clock.getNow();
    for (const run of [...this.#runs]) {
      if (nowMs >= run.deadlineAtMs + DEADLINE_REPORT_GRACE_MS) this.#expireRequest(run);
    }
    this.#options.limiter.setCapacity(this.#capacity.getCapacity());
    for (const target of this.#options.router.startProbes()) this.#probeTarget(target);
  }

  #probeTarget(target: TargetId): void {
    const client = this.#options.connectionPool.open(this.#addresses.get(target)!);
    void client.getLoad().then((load) => this.#loop.push({ type: 'probed', target, load }));
  }

  /**
   * Fails an attempt without progress. Its connection is replaced unless other attempts on it make
   * progress.
   */
  #failStalledAttempt(run: RequestRun, replaceChannel: boolean): void {
    const { address, assembler } = run.currentAttempt!;
    const { connectionPool, log } = this.#options;
    log.warn('no frame before the timeout; attempt cancelled', {
      request: run.id,
      address,
      replaceChannel,
    });
    if (replaceChannel) connectionPool.replace(address);
    const answerEvent = assembler.handleBreak('silent');
    if (answerEvent?.type === 'failed') this.#retryOrFail(run, answerEvent);
  }

  /** Cancels the attempt in progress and stops watching its progress. */
  #endAttempt(run: RequestRun, mayHaveRun: boolean): void {
    if (run.currentAttempt === null) return;
    this.#progress.remove(run.streamKey);
    this.#runsByStream.delete(run.streamKey);
    run.currentAttempt.cancel();
    run.endAttempt(mayHaveRun);
  }

  #expireRequest(run: RequestRun): void {
    const mayHaveRun = run.mayHaveRun || run.currentAttempt !== null;
    if (run.currentAttempt !== null) {
      this.#options.router.recordFinish(run.currentAttempt.decision, 'timed_out');
      this.#endAttempt(run, true);
    }
    const kind = mayHaveRun ? 'timed_out' : 'deadline_exceeded';
    this.#failRequest(run, { kind, message: 'no complete answer before the deadline' });
  }

  #applyConfig(): void {
    const { connectionPool, config, router } = this.#options;
    const instances = config.listInstances();
    const agentAddresses = new Set<string>();
    for (const { role, target, address } of instances) {
      if (role !== 'agent' || target === undefined) continue;
      const oldAddress = this.#addresses.get(target);
      if (oldAddress !== undefined && oldAddress !== address) router.recordRestart(target);
      this.#addresses.set(target, address);
      agentAddresses.add(address);
    }
    router.setEntries(instances.filter(({ role }) => role === 'entry').map(({ id }) => id));
    for (const { name, document } of config.listDocuments()) {
      router.updateTargets(name, document === null ? [] : listRouteTargets(document, instances));
      if (document !== null) router.setZones(name, document.zones.in, document.zones.out);
    }
    connectionPool.prune(agentAddresses);
  }

  #describeSelf(): InstanceRecord {
    const { id, zone } = this.#options;
    const state = this.#isLeaving ? 'leaving' : 'live';
    return { id, role: 'entry', zone, address: '', callerUrl: this.#callerUrl, state };
  }
}
