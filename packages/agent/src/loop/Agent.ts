import {
  ProgressMonitor,
  answerTable,
  computeEngineTimeout,
  fail,
  type AdmissionOutcome,
  type AnswerFrame,
  type Attempt,
  type AttemptId,
  type ClaimOutcome,
  type ClaimDecision,
  type Failure,
  type Header,
  type LoadReport,
  type Result,
} from '@limpetbay/core';
import { createEventLoop, type EventLoop } from '@limpetbay/runtime';
import type { DispatchHandler } from '@limpetbay/rpc';
import type { AttemptRun } from '../attempt/AttemptRun.js';
import { buildClaimRequest } from '../attempt/buildClaimRequest.js';
import { createAttemptRun } from '../attempt/createAttemptRun.js';
import type { AgentEvent } from './AgentEvent.js';
import type { AgentOptions } from './AgentOptions.js';
import { EngineMonitor } from './EngineMonitor.js';

const MIN_SERVER_ERROR_STATUS = 500;
/**
 * Minimum time without progress before a stream of the engine is cancelled. While a group waits for
 * a slow rank, all its streams stall at once; cancelling them would cause a wave of retries.
 */
const MIN_STREAM_TIMEOUT_MS = 3000;
/** Time allowed for the first token, per prompt token. */
const PREFILL_MS_PER_TOKEN = 1;

/**
 * Agent of one target. All requests to the target pass through it, and it alone decides on their
 * admission: each attempt given to `run()` is refused, queued or dispatched to the target.
 */
export class Agent implements DispatchHandler {
  readonly #parts: AgentOptions;

  readonly #loop: EventLoop<AgentEvent>;

  readonly #monitor: EngineMonitor | null;

  /** Attempts that were submitted and have not ended. */
  readonly #runs = new Map<string, AttemptRun>();

  /** Monitors the streams of the engine. */
  readonly #progressMonitor: ProgressMonitor;

  readonly #unsubscribe: () => void;

  /** Time at which progress frames were last due. */
  #lastProgressRoundMs: number;

  /** Last logged state. */
  #loggedState = '';

  constructor(parts: AgentOptions) {
    this.#parts = parts;
    this.#lastProgressRoundMs = parts.clock.getNow();
    this.#progressMonitor = new ProgressMonitor(parts.clock, parts.timing.tickMs);
    this.#loop = createEventLoop<AgentEvent>({
      handle: (event) => this.#handle(event),
      onError: (event, error) => {
        parts.log.alert('event failed', { event: event.type, error: String(error) });
      },
      tick: { type: 'tick' },
      tickMs: parts.timing.tickMs,
    });
    this.#unsubscribe = parts.config.subscribe(() => this.#loop.push({ type: 'config' }));
    this.#monitor =
      parts.engine === null
        ? null
        : new EngineMonitor(parts.engine, parts.clock, parts.timing, (event) => {
            this.#loop.push(event);
          });
    this.#loop.push({ type: 'config' });
    parts.metrics.register('limpetbay_agent_in_flight', () => this.#runs.size);
    parts.metrics.register('limpetbay_agent_limit', () => parts.admission.getLoad().limit);
  }

  run(attempt: Attempt, send: (frame: AnswerFrame) => boolean, finish: () => void): () => void {
    const { admission, clock, config, service } = this.#parts;
    const run = createAttemptRun(attempt, {
      document: config.getDocument(service)?.document ?? null,
      incarnation: admission.getIncarnation(),
      nowMs: clock.getNow(),
      send,
      finish,
    });
    this.#loop.push({ type: 'attempt', run });
    return () => this.#loop.push({ type: 'cancelled', run });
  }

  getLoad(): LoadReport {
    return this.#parts.admission.getLoad();
  }

  /** Stops accepting attempts; those in progress continue. */
  startLeaving(): void {
    this.#loop.push({ type: 'leave' });
  }

  /** Returns the milliseconds until the last deadline of the attempts in progress has passed. */
  getLongestDeadlineMs(): number {
    const nowMs = this.#parts.clock.getNow();
    let longestMs = 0;
    for (const { item } of this.#runs.values()) {
      longestMs = Math.max(longestMs, item.deadlineMs - nowMs);
    }
    return longestMs;
  }

  /** Returns whether the agent accepts attempts, and the body of `/healthz`. */
  describeHealth(): { readonly ready: boolean; readonly body: object } {
    const { state, isolated, rampState } = this.#parts.admission.getStatus();
    const body = { state, isolated, ramp: rampState, in_progress: this.#runs.size };
    return { ready: state === 'serving', body };
  }

  /** Returns the number of attempts in progress. */
  countRuns(): number {
    return this.#runs.size;
  }

  /** Stops the event loop. No attempt may be in progress. */
  stop(): void {
    this.#monitor?.stop();
    this.#unsubscribe();
    this.#loop.stop();
  }

  #handle(event: AgentEvent): void {
    switch (event.type) {
      case 'attempt':
        this.#submit(event.run);
        break;
      case 'cancelled':
        this.#cancel(event.run);
        break;
      case 'claimed':
        this.#handleClaim(event.run, event.result);
        break;
      case 'head':
        this.#handleHead(event.run, event.status, event.headers);
        break;
      case 'data':
        this.#handleData(event.run, event.data, event.tokens);
        break;
      case 'completed':
        this.#complete(event.run);
        break;
      case 'broken':
        this.#handleTargetFailure(event.run, event.message, event.neverSent);
        break;
      case 'engine':
        this.#apply(this.#parts.admission.handleEngineStatus(event.status));
        break;
      case 'engine_silent':
        this.#handleUnresponsiveEngine();
        break;
      case 'config':
        this.#applyConfig();
        break;
      case 'leave':
        this.#parts.log.report('leaving', { in_progress: this.#runs.size });
        this.#apply(this.#parts.admission.setLeaving());
        this.#logState();
        break;
      default:
        this.#tick();
    }
  }

  #submit(run: AttemptRun): void {
    const { admission, metrics } = this.#parts;
    const { key } = run;
    if (this.#answerFromLedger(run)) return;
    const result = admission.submit(run.item);
    metrics.increase(`limpetbay_agent_attempts{result="${result.type}"}`);
    if (result.type === 'duplicate') {
      this.#logDecision(run, 'duplicate', result.failure.message);
      run.end();
      run.writer.fail(result.failure, admission.getLoad());
    } else if (result.type === 'refused') {
      this.#refuse(run, result.failure);
    } else {
      this.#runs.set(key, run);
      run.writer.accept(admission.getLoad());
      if (result.type === 'start') this.#start(run);
      else this.#logDecision(run, 'queued', 'all slots are in use');
    }
    this.#apply(result.outcome);
  }

  /**
   * Answers a repeated idempotency key from the ledger, if its decision is already known to this
   * agent. This comes before admission, so a replay neither takes a slot nor is refused.
   */
  #answerFromLedger(run: AttemptRun): boolean {
    if (run.repeatable || run.attempt.idempotencyKey === '') return false;
    const decision = this.#parts.ledger.find(buildClaimRequest(run));
    if (decision === null) return false;
    const load = this.#parts.admission.getLoad();
    if (decision.ok && decision.val.type === 'replay') {
      this.#replay(run, decision.val.outcome);
    } else if (decision.err && answerTable[decision.val.kind].run === 'no') {
      this.#logDecision(run, 'refused', `${decision.val.kind}: ${decision.val.message}`);
      run.writer.refuse(decision.val, load);
    } else if (decision.err) {
      this.#logDecision(run, 'failed', `${decision.val.kind}: ${decision.val.message}`);
      run.writer.fail(decision.val, load);
    } else {
      return false;
    }
    run.end();
    return true;
  }

  /** Starts or refuses the queued attempts that admission decided on. */
  #apply(outcome: AdmissionOutcome): void {
    for (const { item, failure } of outcome.refused) {
      const run = this.#runs.get(buildKey(item));
      if (run !== undefined) this.#refuse(run, failure);
    }
    for (const item of outcome.started) {
      const run = this.#runs.get(buildKey(item));
      if (run !== undefined) this.#start(run);
    }
  }

  /**
   * Dispatches an attempt that was given a slot. An attempt with an idempotency key that must not
   * run twice needs a claim first.
   */
  #start(run: AttemptRun): void {
    const { attempt } = run;
    if (run.repeatable || attempt.idempotencyKey === '') {
      this.#dispatch(run);
      return;
    }
    run.startClaim();
    const claim = this.#parts.ledger.begin(buildClaimRequest(run));
    void claim.then((result) => this.#loop.push({ type: 'claimed', run, result }));
  }

  #handleClaim(run: AttemptRun, result: Result<ClaimDecision, Failure>): void {
    const { admission, ledger, metrics } = this.#parts;
    const isEnded = run.phase === 'ended';
    if (result.err) {
      if (isEnded) return;
      metrics.increase(`limpetbay_agent_claims{result="${result.val.kind}"}`);
      if (answerTable[result.val.kind].run === 'no') this.#refuse(run, result.val);
      else this.#fail(run, result.val);
      this.#apply(admission.cancel(run.item));
      return;
    }
    if (result.val.type === 'replay') {
      if (isEnded) return;
      metrics.increase('limpetbay_agent_claims{result="replay"}');
      this.#replay(run, result.val.outcome);
      return;
    }
    if (isEnded) {
      ledger.release(result.val.claim);
      return;
    }
    run.setClaim(result.val.claim);
    metrics.increase('limpetbay_agent_claims{result="run"}');
    this.#dispatch(run);
  }

  #replay(run: AttemptRun, outcome: ClaimOutcome): void {
    this.#logDecision(run, 'replayed', 'the key has a stored outcome');
    run.writer.startAnswer(outcome.status, outcome.headers, true);
    if (outcome.body.length > 0) run.writer.append(outcome.body, 0);
    this.#end(run);
    run.writer.end(this.#parts.admission.getLoad());
    this.#apply(this.#parts.admission.cancel(run.item));
  }

  /** Dispatches the attempt to the target, which may have run it from here on. */
  #dispatch(run: AttemptRun): void {
    const { admission, clock, ledger, target } = this.#parts;
    const failure = this.#checkDispatch(run);
    if (failure !== null) {
      if (run.claim !== null) ledger.release(run.claim);
      this.#refuse(run, failure);
      this.#apply(admission.cancel(run.item));
      return;
    }
    this.#logDecision(run, 'started', 'a slot is free');
    run.recordDispatch(clock.getNow());
    const { method, path, headers, body, resumeFrom } = run.attempt;
    const cancel = target.send(
      { method, path, headers, body, resumeFrom },
      {
        onHead: (status, answerHeaders) => {
          this.#loop.push({ type: 'head', run, status, headers: answerHeaders });
        },
        onData: (data, tokens) => this.#loop.push({ type: 'data', run, data, tokens }),
        onEnd: () => this.#loop.push({ type: 'completed', run }),
        onFailure: (message, neverSent) => {
          this.#loop.push({ type: 'broken', run, message, neverSent });
        },
      },
    );
    run.setCancel(cancel);
    if (this.#parts.engine !== null && run.attempt.stream === true) this.#watchProgress(run);
  }

  /** Monitors a stream of the engine for progress; only the deadline bounds other calls. */
  #watchProgress(run: AttemptRun): void {
    const { stepTimeMs } = this.#parts.admission.getLoad();
    const firstTokenMs = run.attempt.promptTokens * PREFILL_MS_PER_TOKEN;
    const limitMs = Math.max(MIN_STREAM_TIMEOUT_MS, computeEngineTimeout(stepTimeMs, firstTokenMs));
    this.#progressMonitor.add(run.key, 'engine', limitMs);
  }

  /** Checks the deadline again: the process may have been paused since the slot was granted. */
  #checkDispatch(run: AttemptRun): Failure | null {
    if (run.isExpired(this.#parts.clock.getNow())) {
      return fail('deadline_exceeded', 'the deadline passed before the request was dispatched').val;
    }
    if (run.claim === null) return null;
    const started = this.#parts.ledger.startRun(run.claim);
    if (started.ok) return null;
    run.setClaim(null);
    return started.val;
  }

  #handleHead(run: AttemptRun, status: number, headers: readonly Header[]): void {
    if (run.phase !== 'running') return;
    run.recordHead(status, headers);
    // The engine failed before its first token. Without a head, the entry can still retry the
    // request on another rank.
    if (run.repeatable && status >= MIN_SERVER_ERROR_STATUS) return;
    run.writer.startAnswer(status, this.#markStale(headers), false);
  }

  /** Marks answers of an isolated agent: nothing outside its zone confirms its document. */
  #markStale(headers: readonly Header[]): readonly Header[] {
    if (!this.#parts.admission.getStatus().isolated) return headers;
    return [...headers, { name: 'Limpetbay-Config-Stale', value: 'true' }];
  }

  #handleData(run: AttemptRun, data: Uint8Array, tokens: number): void {
    if (run.phase !== 'running') return;
    run.recordData(data, tokens, this.#parts.clock.getNow());
    this.#progressMonitor.recordProgress(run.key);
    if (run.writer.hasHead()) run.writer.append(data, tokens);
  }

  #complete(run: AttemptRun): void {
    if (run.phase !== 'running') return;
    const isFailed = run.status >= MIN_SERVER_ERROR_STATUS;
    if (run.claim !== null) {
      const { status, headers } = run;
      this.#parts.ledger.complete(run.claim, { status, headers, body: run.getBody() });
    }
    if (isFailed && !run.writer.hasHead()) {
      this.#finish(run, true);
      this.#fail(run, fail('target_error', `the target answered with status ${run.status}`).val);
      return;
    }
    this.#finish(run, isFailed);
    this.#end(run);
    run.writer.end(this.#parts.admission.getLoad());
  }

  #handleTargetFailure(run: AttemptRun, message: string, neverSent: boolean): void {
    if (run.phase !== 'running') return;
    this.#finish(run, true);
    if (neverSent) {
      if (run.claim !== null) this.#parts.ledger.release(run.claim);
      this.#refuse(run, fail('target_cold', `could not connect to the target: ${message}`).val);
      return;
    }
    if (run.claim !== null) this.#parts.ledger.complete(run.claim, null);
    this.#fail(run, fail('target_error', `the call to the target failed: ${message}`).val);
  }

  /** Reports the measured times of a run to admission and starts attempts in the freed slot. */
  #finish(run: AttemptRun, error: boolean): void {
    const { admission, clock, metrics } = this.#parts;
    const sample = run.measure(clock.getNow(), error);
    const { serviceTimeMs, stepTimeMs } = sample;
    if (!error) metrics.record('limpetbay_agent_service_time_us', serviceTimeMs * 1000);
    if (stepTimeMs > 0) metrics.record('limpetbay_agent_step_time_us', stepTimeMs * 1000);
    run.end();
    this.#apply(admission.finish(run.item, sample));
  }

  #cancel(run: AttemptRun): void {
    if (run.phase === 'ended') return;
    run.writer.closeSilently();
    // A request that must not be repeated runs to its end, so that its outcome is stored.
    if (run.phase === 'running' && !run.repeatable) return;
    this.#logDecision(run, 'cancelled', 'the entry cancelled the attempt or disconnected');
    run.cancelCall();
    this.#end(run);
    this.#apply(this.#parts.admission.cancel(run.item));
  }

  #refuse(run: AttemptRun, failure: Failure): void {
    this.#logDecision(run, 'refused', `${failure.kind}: ${failure.message}`);
    this.#end(run);
    run.writer.refuse(failure, this.#parts.admission.getLoad());
  }

  #fail(run: AttemptRun, failure: Failure): void {
    this.#logDecision(run, 'failed', `${failure.kind}: ${failure.message}`);
    this.#end(run);
    run.writer.fail(failure, this.#parts.admission.getLoad());
  }

  #end(run: AttemptRun): void {
    this.#progressMonitor.remove(run.key);
    run.end();
    this.#runs.delete(run.key);
  }

  #handleUnresponsiveEngine(): void {
    const { admission, log, target } = this.#parts;
    log.warn('engine unresponsive; connections replaced', { in_progress: this.#runs.size });
    target.replaceConnections();
    for (const run of [...this.#runs.values()]) {
      if (run.phase !== 'running') continue;
      run.cancelCall();
      this.#handleTargetFailure(run, 'the engine is unresponsive', false);
    }
    admission.restartIncarnation('engine unresponsive');
  }

  #applyConfig(): void {
    const { admission, config, service } = this.#parts;
    const versioned = config.getDocument(service);
    this.#apply(admission.setDocument(versioned));
    this.#logState();
  }

  #logState(): void {
    const { admission, log } = this.#parts;
    const { state, isolated } = admission.getStatus();
    const label = isolated && state === 'serving' ? 'serving_isolated' : state;
    if (label === this.#loggedState) return;
    const revision = admission.getLoad().configRevision;
    log.report('state changed', { from: this.#loggedState, to: label, revision });
    this.#loggedState = label;
  }

  #tick(): void {
    const { admission, clock, config, ledger, timing } = this.#parts;
    ledger.tick();
    this.#apply(admission.setConnectivity(config.getConnectivity()));
    for (const { stream, replaceChannel } of this.#progressMonitor.poll()) {
      const run = this.#runs.get(stream);
      if (run !== undefined) this.#cancelStalled(run, replaceChannel);
    }
    const nowMs = clock.getNow();
    const isProgressDue = nowMs - this.#lastProgressRoundMs >= timing.progressMs;
    if (isProgressDue) this.#lastProgressRoundMs = nowMs;
    for (const run of [...this.#runs.values()]) {
      if (run.phase === 'running' && run.isExpired(nowMs)) this.#expire(run);
      else if (isProgressDue) run.writer.keepAlive();
    }
    this.#apply(admission.tick());
    this.#logState();
  }

  /** Cancels a stalled stream; replaces the engine's connections unless another stream works. */
  #cancelStalled(run: AttemptRun, replaceConnections: boolean): void {
    const { log, target } = this.#parts;
    log.warn('no token in time; call cancelled', { request: run.attempt.requestId });
    if (replaceConnections) target.replaceConnections();
    run.cancelCall();
    this.#handleTargetFailure(run, 'no token from the engine in time', false);
  }

  #expire(run: AttemptRun): void {
    if (run.writer.isClosed()) return;
    const failure = fail(
      'timed_out',
      'the deadline passed before the target completed its answer',
    ).val;
    if (!run.repeatable) {
      run.writer.fail(failure, this.#parts.admission.getLoad());
      return;
    }
    run.cancelCall();
    this.#fail(run, failure);
    this.#apply(this.#parts.admission.cancel(run.item));
  }

  #logDecision(run: AttemptRun, decision: string, reason: string): void {
    const { requestId, attempt, workspace } = run.attempt;
    this.#parts.log.report(decision, { request: requestId, attempt, workspace, reason });
  }
}

function buildKey({ requestId, attempt }: AttemptId): string {
  return `${requestId}/${attempt}`;
}
