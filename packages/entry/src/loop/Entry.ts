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
import { EntryRun } from '../request/EntryRun.js';
import { RequestHandle } from '../request/RequestHandle.js';
import { hashPrefixes } from '../request/hashPrefixes.js';
import { describeEntries } from '../view/describeEntries.js';
import { listRouteTargets } from '../view/listRouteTargets.js';
import type { EntryEvent } from './EntryEvent.js';
import type { EntryParts } from './EntryParts.js';

type FailedEvent = Extract<AnswerEvent, { type: 'failed' }>;

/** Time that an agent gets to report a passed deadline before the entry does it itself. */
const DEADLINE_SLACK_MS = 250;

/** The entry: takes callers' requests, routes them to agents and passes the answers on. */
export class Entry implements CallerHandler {
  readonly #parts: EntryParts;

  readonly #loop: EventLoop<EntryEvent>;

  readonly #runs = new Set<EntryRun>();

  /** Requests by the key of their attempt in progress. */
  readonly #streams = new Map<string, EntryRun>();

  readonly #addresses = new Map<TargetId, string>();

  readonly #unsubscribe: () => void;

  #isLeaving = false;

  readonly #progress: ProgressMonitor;

  readonly #capacity: CapacityEstimator;

  constructor(parts: EntryParts) {
    this.#parts = parts;
    this.#capacity = new CapacityEstimator(parts.clock);
    this.#progress = new ProgressMonitor(parts.clock, parts.timing.tickMs);
    this.#loop = createEventLoop<EntryEvent>({
      handle: (event) => this.#handle(event),
      onError: (event, error) => {
        parts.log.alert('event failed', { event: event.type, error: String(error) });
      },
      tick: { type: 'tick' },
      tickMs: parts.timing.tickMs,
    });
    this.#unsubscribe = parts.config.subscribe(() => this.#loop.push({ type: 'config' }));
    this.#loop.push({ type: 'config' });
    parts.metrics.register('limpetbay_entry_in_progress', () => this.#runs.size);
    parts.metrics.register('limpetbay_entry_retry_budget', () => parts.budget.getTokens());
  }

  run(request: CallerRequest, answer: CallerAnswer): () => void {
    const handle = new RequestHandle();
    this.#loop.push({ type: 'request', request, answer, handle });
    return () => this.#loop.push({ type: 'caller_gone', handle });
  }

  describeEntries(): object {
    const { config, timing } = this.#parts;
    return describeEntries(config.listInstances(), this.#describeSelf(), timing.addressTtlMs);
  }

  describeHealth(): { readonly ready: boolean; readonly body: object } {
    const documents = this.#parts.config.listDocuments();
    const ready = documents.length > 0 && !this.#isLeaving;
    const services = documents.map(({ name, revision }) => ({ name, revision }));
    return {
      ready,
      body: { ready, leaving: this.#isLeaving, in_progress: this.#runs.size, services },
    };
  }

  formatMetrics(): string {
    return this.#parts.metrics.format();
  }

  isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Tells callers to use other entries; requests are still served. */
  startLeaving(): void {
    this.#isLeaving = true;
    this.#parts.log.report('leaving', { in_progress: this.#runs.size });
  }

  /** Returns the milliseconds until the last deadline of the requests in progress has passed. */
  getLongestDeadlineMs(): number {
    const nowMs = this.#parts.clock.getNow();
    let longestMs = 0;
    for (const { deadlineAtMs } of this.#runs) {
      longestMs = Math.max(longestMs, deadlineAtMs - nowMs + DEADLINE_SLACK_MS);
    }
    return longestMs;
  }

  countRuns(): number {
    return this.#runs.size;
  }

  /** Ends the loop; nothing may be in progress. */
  stop(): void {
    this.#unsubscribe();
    this.#loop.stop();
    this.#parts.channels.close();
  }

  #handle(event: EntryEvent): void {
    switch (event.type) {
      case 'request':
        this.#accept(event.request, event.answer, event.handle);
        break;
      case 'caller_gone':
        this.#dropCaller(event.handle);
        break;
      case 'frame': {
        const { run, assembler, frame } = event;
        if (run.current?.assembler !== assembler) break;
        this.#progress.recordProgress(run.streamKey);
        this.#parts.router.recordFrame(run.current.decision.target);
        const answerEvent = assembler.handleFrame(frame);
        if (answerEvent !== null) this.#acceptAnswer(run, answerEvent);
        break;
      }
      case 'attempt_ended':
        this.#acceptEnd(event.run, event.assembler, event.reason, event.neverSent);
        break;
      case 'retry':
        if (!event.run.isEnded) this.#sendAttempt(event.run);
        break;
      case 'probed':
        if (event.load !== null) this.#parts.router.handleLoad(event.load);
        this.#parts.router.recordProbe(event.target, event.load !== null);
        break;
      case 'config':
        this.#applyConfig();
        break;
      default:
        this.#tick();
    }
  }

  #accept(request: CallerRequest, answer: CallerAnswer, handle: RequestHandle): void {
    const { budget, clock, config, limiter, metrics } = this.#parts;
    metrics.increase('limpetbay_entry_requests');
    const versioned = config.getDocument(request.service);
    const document = versioned?.document ?? null;
    if (versioned === null || document === null) {
      const isReady = config.listDocuments().length > 0;
      const message = `no document is known for service ${request.service}`;
      this.#reject(answer, fail(isReady ? 'unknown_service' : 'not_ready', message, 1000).val);
      return;
    }
    const checked = checkRequest(request, document);
    if (checked.err) {
      this.#reject(answer, checked.val);
      return;
    }
    const admitted = limiter.admit(request.workspace, computeCost(request));
    if (admitted.err) {
      this.#reject(answer, admitted.val);
      return;
    }
    budget.recordRequest();
    const run = new EntryRun({
      id: randomUUID() as string as RequestId,
      request,
      answer,
      repeatable: isRepeatable(document, request.method, request.path),
      resumable: document.service.kind === 'model' && request.stream,
      deadlineAtMs: clock.getNow() + checked.val,
      configRevision: versioned.revision,
      prefixHashes: hashPrefixes(request.prompt),
    });
    handle.setRun(run);
    this.#runs.add(run);
    if (handle.isGone) this.#dropCaller(handle);
    else this.#sendAttempt(run);
  }

  #reject(answer: CallerAnswer, failure: Failure): void {
    if (failure.kind === 'overloaded') this.#capacity.recordRefusal();
    this.#parts.metrics.increase(`limpetbay_entry_failures{kind="${failure.kind}"}`);
    answer.fail(failure);
  }

  #sendAttempt(run: EntryRun): void {
    const { channels, clock, log, router, timing } = this.#parts;
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
    if (picked.err && picked.val.kind === 'no_target' && run.canTryAgain) {
      // Every target failed once; by now their silent connections have been replaced.
      picked = router.pick({ ...query, tried: new Set() });
    }
    if (picked.err) {
      // The last refusal says more than that no target is left.
      const failure = this.#explainNoTarget(run, picked.val);
      const kind = chooseFailureKind(failure.kind, run.repeatable, run.mayHaveRun);
      this.#fail(run, { ...failure, kind });
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
    this.#streams.set(run.streamKey, run);
    this.#progress.add(run.streamKey, address, timing.silenceMs);
    router.recordSend(decision, cost);
    const cancel = channels.open(address).send(attempt, {
      onFrame: (frame) => this.#loop.push({ type: 'frame', run, assembler, frame }),
      onEnd: (reason, neverSent) => {
        this.#loop.push({ type: 'attempt_ended', run, assembler, reason, neverSent });
      },
    });
    run.setCancel(cancel);
  }

  #explainNoTarget(run: EntryRun, failure: Failure): Failure {
    if (failure.kind === 'no_target') return run.failure ?? failure;
    if (failure.kind !== 'unknown_service') return failure;
    // The document is known, so the service is; none of its targets is listed.
    return { ...failure, kind: 'no_target' };
  }

  #acceptAnswer(run: EntryRun, event: AnswerEvent): void {
    switch (event.type) {
      case 'accepted':
        this.#parts.router.handleLoad(event.load);
        break;
      case 'head':
        if (!run.answer.isStarted()) run.answer.start(event.status, buildHeaders(run, event));
        break;
      case 'bytes':
        run.answer.write(event.data);
        break;
      case 'complete':
        this.#complete(run, event.load);
        break;
      case 'failed':
        this.#retryOrFail(run, event);
        break;
      default:
    }
  }

  #complete(run: EntryRun, load: LoadReport): void {
    const { clock, metrics, router } = this.#parts;
    const { decision } = run.current!;
    router.handleLoad(load);
    router.recordFinish(decision, 'complete');
    this.#capacity.recordCompletion(computeCost(run.request));
    metrics.increase('limpetbay_entry_completed');
    metrics.record('limpetbay_entry_time_left_ms', run.deadlineAtMs - clock.getNow());
    this.#endAttempt(run, true);
    run.answer.end();
    this.#end(run);
  }

  #retryOrFail(run: EntryRun, event: FailedEvent, reached = true): void {
    const { budget, clock, log, metrics, random, router } = this.#parts;
    const { decision } = run.current!;
    const { failure } = event;
    const end = reached ? event.end : 'unsent';
    const isNotRun =
      end === 'unsent' || (end === 'refused' && answerTable[failure.kind].run === 'no');
    if (event.load !== null) router.handleLoad(event.load);
    router.recordFinish(decision, failure.kind, reached);
    const { mayHaveRun } = run;
    this.#endAttempt(run, !isNotRun);
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
        attempts: run.attempts,
        deadlineMs: run.deadlineAtMs - clock.getNow(),
      },
      budget,
      random,
    );
    metrics.increase(`limpetbay_entry_attempts_failed{kind="${failure.kind}"}`);
    log.report('attempt failed', {
      request: run.id,
      attempt: run.attempts,
      target: decision.target,
      kind: failure.kind,
      next: next.action,
      reason: next.reason,
    });
    if (next.action === 'fail') {
      this.#fail(run, next.failure);
      return;
    }
    metrics.increase('limpetbay_entry_retries');
    setTimeout(() => this.#loop.push({ type: 'retry', run }), next.delayMs);
  }

  #acceptEnd(run: EntryRun, assembler: AnswerAssembler, reason: string, neverSent: boolean): void {
    if (run.current?.assembler !== assembler) return;
    const broken = assembler.handleBreak('broken');
    if (broken?.type !== 'failed') return;
    const failure = neverSent
      ? fail('not_ready', `the agent cannot be reached: ${reason}`).val
      : { ...broken.failure, message: `${broken.failure.message}: ${reason}` };
    this.#retryOrFail(run, { ...broken, failure }, !neverSent);
  }

  #fail(run: EntryRun, failure: Failure): void {
    this.#parts.log.report('request failed', {
      request: run.id,
      kind: failure.kind,
      run: answerTable[failure.kind].run,
      reason: failure.message,
    });
    this.#reject(run.answer, failure);
    this.#end(run);
  }

  #end(run: EntryRun): void {
    run.end();
    this.#runs.delete(run);
  }

  #dropCaller(handle: RequestHandle): void {
    handle.markGone();
    const { run } = handle;
    if (run === null || run.isEnded) return;
    if (run.current !== null) {
      this.#parts.router.recordFinish(run.current.decision, 'cancelled');
      this.#endAttempt(run, true);
    }
    this.#parts.metrics.increase('limpetbay_entry_cancelled');
    this.#end(run);
  }

  #tick(): void {
    for (const { stream, replaceChannel } of this.#progress.poll()) {
      const run = this.#streams.get(stream);
      if (run !== undefined) this.#giveUp(run, replaceChannel);
    }
    const nowMs = this.#parts.clock.getNow();
    for (const run of [...this.#runs]) {
      if (nowMs >= run.deadlineAtMs + DEADLINE_SLACK_MS) this.#expire(run);
    }
    this.#parts.limiter.setCapacity(this.#capacity.getCapacity());
    for (const target of this.#parts.router.startProbes()) this.#probe(target);
  }

  #probe(target: TargetId): void {
    const client = this.#parts.channels.open(this.#addresses.get(target)!);
    void client.getLoad().then((load) => this.#loop.push({ type: 'probed', target, load }));
  }

  /** Gives up a silent attempt; its channel is replaced unless other attempts progress on it. */
  #giveUp(run: EntryRun, replaceChannel: boolean): void {
    const { address, assembler } = run.current!;
    const { channels, log } = this.#parts;
    log.warn('no frame in time, attempt given up', { request: run.id, address, replaceChannel });
    if (replaceChannel) channels.replace(address);
    const silent = assembler.handleBreak('silent');
    if (silent?.type === 'failed') this.#retryOrFail(run, silent);
  }

  /** Ends the attempt in progress. */
  #endAttempt(run: EntryRun, mayHaveRun: boolean): void {
    if (run.current === null) return;
    this.#progress.remove(run.streamKey);
    this.#streams.delete(run.streamKey);
    run.current.cancel();
    run.endAttempt(mayHaveRun);
  }

  #expire(run: EntryRun): void {
    const mayHaveRun = run.mayHaveRun || run.current !== null;
    if (run.current !== null) {
      this.#parts.router.recordFinish(run.current.decision, 'timed_out');
      this.#endAttempt(run, true);
    }
    const kind = mayHaveRun ? 'timed_out' : 'deadline_exceeded';
    this.#fail(run, { kind, message: 'no complete answer before the deadline' });
  }

  #applyConfig(): void {
    const { channels, config, router } = this.#parts;
    const instances = config.listInstances();
    const listed = new Set<string>();
    for (const { role, target, address } of instances) {
      if (role !== 'agent' || target === undefined) continue;
      const known = this.#addresses.get(target);
      if (known !== undefined && known !== address) router.recordRestart(target);
      this.#addresses.set(target, address);
      listed.add(address);
    }
    router.setEntries(instances.filter(({ role }) => role === 'entry').map(({ id }) => id));
    for (const { name, document } of config.listDocuments()) {
      router.updateTargets(name, document === null ? [] : listRouteTargets(document, instances));
      if (document !== null) router.setZones(name, document.zones.in, document.zones.out);
    }
    channels.prune(listed);
  }

  #describeSelf(): InstanceRecord {
    const { callerUrl, id, zone } = this.#parts;
    const state = this.#isLeaving ? 'leaving' : 'live';
    return { id, role: 'entry', zone, address: '', callerUrl, state };
  }
}
