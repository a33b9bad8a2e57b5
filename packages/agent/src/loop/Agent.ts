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
import { createRun } from '../attempt/createRun.js';
import type { AgentEvent } from './AgentEvent.js';
import type { AgentParts } from './AgentParts.js';
import { EngineMonitor } from './EngineMonitor.js';

const SERVER_ERROR = 500;
/**
 * Least silence after which a stream of the engine is given up. A group that waits for a slow rank
 * is silent on all its streams at once, and cutting them would turn a stall into a wave of retries.
 */
const LEAST_SILENCE_MS = 3000;
/** Time that an engine may take to begin, per prompt token. */
const PREFILL_MS_PER_TOKEN = 1;

/**
 * The agent of one target: the only path to it and the authority for it. Attempts come in by
 * `run`; each is refused, queued or handed to the target.
 */
export class Agent implements DispatchHandler {
  readonly #parts: AgentParts;

  readonly #loop: EventLoop<AgentEvent>;

  readonly #monitor: EngineMonitor | null;

  /** Attempts that were submitted and have not ended. */
  readonly #runs = new Map<string, AttemptRun>();

  /** Streams of the engine that should make progress. */
  readonly #progress: ProgressMonitor;

  readonly #unsubscribe: () => void;

  #progressAtMs: number;

  /** State that was logged last. */
  #loggedState = '';

  constructor(parts: AgentParts) {
    this.#parts = parts;
    this.#progressAtMs = parts.clock.getNow();
    this.#progress = new ProgressMonitor(parts.clock, parts.timing.tickMs);
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
    const run = createRun(attempt, {
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

  /** Takes no new work from now on. */
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

  /** Returns whether the agent takes new work, and the body of `/healthz`. */
  describeHealth(): { readonly ready: boolean; readonly body: object } {
    const { state, isolated, rampState } = this.#parts.admission.getStatus();
    const body = { state, isolated, ramp: rampState, in_progress: this.#runs.size };
    return { ready: state === 'serving', body };
  }

  /** Counts the attempts in progress. */
  countRuns(): number {
    return this.#runs.size;
  }

  /** Ends the loop; nothing may be in progress. */
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
        this.#acceptClaim(event.run, event.result);
        break;
      case 'head':
        this.#acceptHead(event.run, event.status, event.headers);
        break;
      case 'data':
        this.#acceptData(event.run, event.data, event.tokens);
        break;
      case 'completed':
        this.#complete(event.run);
        break;
      case 'broken':
        this.#break(event.run, event.message, event.neverSent);
        break;
      case 'engine':
        this.#apply(this.#parts.admission.handleEngineStatus(event.status));
        break;
      case 'engine_silent':
        this.#replaceEngine();
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
    if (this.#answerFromMemory(run)) return;
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

  /** Answers a repeated key whose end is known here, before it takes a slot or is refused. */
  #answerFromMemory(run: AttemptRun): boolean {
    if (run.repeatable || run.attempt.idempotencyKey === '') return false;
    const known = this.#parts.ledger.find(buildClaimRequest(run));
    if (known === null) return false;
    const load = this.#parts.admission.getLoad();
    if (known.ok && known.val.type === 'replay') {
      this.#replay(run, known.val.outcome);
    } else if (known.err && answerTable[known.val.kind].run === 'no') {
      this.#logDecision(run, 'refused', `${known.val.kind}: ${known.val.message}`);
      run.writer.refuse(known.val, load);
    } else if (known.err) {
      this.#logDecision(run, 'failed', `${known.val.kind}: ${known.val.message}`);
      run.writer.fail(known.val, load);
    } else {
      return false;
    }
    run.end();
    return true;
  }

  /** Acts on what became of queued attempts. */
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

  #start(run: AttemptRun): void {
    const { attempt } = run;
    if (run.repeatable || attempt.idempotencyKey === '') {
      this.#handOver(run);
      return;
    }
    run.startClaim();
    const claim = this.#parts.ledger.begin(buildClaimRequest(run));
    void claim.then((result) => this.#loop.push({ type: 'claimed', run, result }));
  }

  #acceptClaim(run: AttemptRun, result: Result<ClaimDecision, Failure>): void {
    const { admission, ledger, metrics } = this.#parts;
    const isGone = run.phase === 'ended';
    if (result.err) {
      if (isGone) return;
      metrics.increase(`limpetbay_agent_claims{result="${result.val.kind}"}`);
      if (answerTable[result.val.kind].run === 'no') this.#refuse(run, result.val);
      else this.#fail(run, result.val);
      this.#apply(admission.cancel(run.item));
      return;
    }
    if (result.val.type === 'replay') {
      if (isGone) return;
      metrics.increase('limpetbay_agent_claims{result="replay"}');
      this.#replay(run, result.val.outcome);
      return;
    }
    if (isGone) {
      ledger.release(result.val.claim);
      return;
    }
    run.acceptClaim(result.val.claim);
    metrics.increase('limpetbay_agent_claims{result="run"}');
    this.#handOver(run);
  }

  #replay(run: AttemptRun, outcome: ClaimOutcome): void {
    this.#logDecision(run, 'replayed', 'the key has a stored outcome');
    run.writer.startAnswer(outcome.status, outcome.headers, true);
    if (outcome.body.length > 0) run.writer.append(outcome.body, 0);
    this.#end(run);
    run.writer.end(this.#parts.admission.getLoad());
    this.#apply(this.#parts.admission.cancel(run.item));
  }

  /** Hands the attempt to the target; from here on it may have run. */
  #handOver(run: AttemptRun): void {
    const { admission, clock, ledger, target } = this.#parts;
    const failure = this.#checkHandOver(run);
    if (failure !== null) {
      if (run.claim !== null) ledger.release(run.claim);
      this.#refuse(run, failure);
      this.#apply(admission.cancel(run.item));
      return;
    }
    this.#logDecision(run, 'started', 'a slot is free');
    run.startRun(clock.getNow());
    const { method, path, headers, body, resumeFrom } = run.attempt;
    const cancel = target.run(
      { method, path, headers, body, resumeFrom },
      {
        acceptHead: (status, list) => {
          this.#loop.push({ type: 'head', run, status, headers: list });
        },
        acceptData: (data, tokens) => this.#loop.push({ type: 'data', run, data, tokens }),
        acceptEnd: () => this.#loop.push({ type: 'completed', run }),
        acceptFailure: (message, neverSent) => {
          this.#loop.push({ type: 'broken', run, message, neverSent });
        },
      },
    );
    run.setCancel(cancel);
    if (this.#parts.engine !== null && run.attempt.stream === true) this.#watch(run);
  }

  /** Watches the stream of the engine; other calls are bounded by their deadline. */
  #watch(run: AttemptRun): void {
    const { stepTimeMs } = this.#parts.admission.getLoad();
    const firstTokenMs = run.attempt.promptTokens * PREFILL_MS_PER_TOKEN;
    const limitMs = Math.max(LEAST_SILENCE_MS, computeEngineTimeout(stepTimeMs, firstTokenMs));
    this.#progress.add(run.key, 'engine', limitMs);
  }

  /** Checks the deadline once more: this process may have been paused since the slot was granted. */
  #checkHandOver(run: AttemptRun): Failure | null {
    if (run.isLate(this.#parts.clock.getNow())) {
      return fail('deadline_exceeded', 'the deadline passed before the hand-over').val;
    }
    if (run.claim === null) return null;
    const started = this.#parts.ledger.startRun(run.claim);
    if (started.ok) return null;
    run.acceptClaim(null);
    return started.val;
  }

  #acceptHead(run: AttemptRun, status: number, headers: readonly Header[]): void {
    if (run.phase !== 'running') return;
    run.acceptHead(status, headers);
    // Another rank may answer where this engine failed before its first token.
    if (run.repeatable && status >= SERVER_ERROR) return;
    run.writer.startAnswer(status, this.#markStale(headers), false);
  }

  /** Marks answers of an agent that serves although nothing outside its zone confirms its document. */
  #markStale(headers: readonly Header[]): readonly Header[] {
    if (!this.#parts.admission.getStatus().isolated) return headers;
    return [...headers, { name: 'Limpetbay-Config-Stale', value: 'true' }];
  }

  #acceptData(run: AttemptRun, data: Uint8Array, tokens: number): void {
    if (run.phase !== 'running') return;
    run.acceptData(data, tokens, this.#parts.clock.getNow());
    this.#progress.recordProgress(run.key);
    if (run.writer.hasHead()) run.writer.append(data, tokens);
  }

  #complete(run: AttemptRun): void {
    if (run.phase !== 'running') return;
    const isFailed = run.status >= SERVER_ERROR;
    if (run.claim !== null) {
      const { status, headers } = run;
      this.#parts.ledger.complete(run.claim, { status, headers, body: run.getBody() });
    }
    if (isFailed && !run.writer.hasHead()) {
      this.#finish(run, true);
      this.#fail(run, fail('target_error', `the target answered ${run.status}`).val);
      return;
    }
    this.#finish(run, isFailed);
    this.#end(run);
    run.writer.end(this.#parts.admission.getLoad());
  }

  #break(run: AttemptRun, message: string, neverSent: boolean): void {
    if (run.phase !== 'running') return;
    this.#finish(run, true);
    if (neverSent) {
      if (run.claim !== null) this.#parts.ledger.release(run.claim);
      this.#refuse(run, fail('target_cold', `the target takes no connections: ${message}`).val);
      return;
    }
    if (run.claim !== null) this.#parts.ledger.complete(run.claim, null);
    this.#fail(run, fail('target_error', `the target broke off: ${message}`).val);
  }

  /** Reports the measured times of a run to admission and acts on what it frees. */
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
    // A request that may not be repeated completes, so that its outcome is kept and known.
    if (run.phase === 'running' && !run.repeatable) return;
    this.#logDecision(run, 'cancelled', 'the entry went away');
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
    this.#progress.remove(run.key);
    run.end();
    this.#runs.delete(run.key);
  }

  #replaceEngine(): void {
    const { admission, log, target } = this.#parts;
    log.warn('engine is silent, connections replaced', { in_progress: this.#runs.size });
    target.replaceConnections();
    for (const run of [...this.#runs.values()]) {
      if (run.phase !== 'running') continue;
      run.cancelCall();
      this.#break(run, 'the engine is silent', false);
    }
    admission.restartIncarnation('engine silent');
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
    for (const { stream, replaceChannel } of this.#progress.poll()) {
      const run = this.#runs.get(stream);
      if (run !== undefined) this.#giveUp(run, replaceChannel);
    }
    const nowMs = clock.getNow();
    const isProgressDue = nowMs - this.#progressAtMs >= timing.progressMs;
    if (isProgressDue) this.#progressAtMs = nowMs;
    for (const run of [...this.#runs.values()]) {
      if (run.phase === 'running' && run.isLate(nowMs)) this.#expire(run);
      else if (isProgressDue) run.writer.keepAlive();
    }
    this.#apply(admission.tick());
    this.#logState();
  }

  /** Gives up a silent stream of the engine; its connections are replaced unless others work. */
  #giveUp(run: AttemptRun, replaceConnections: boolean): void {
    const { log, target } = this.#parts;
    log.warn('no token in time, call given up', { request: run.attempt.requestId });
    if (replaceConnections) target.replaceConnections();
    run.cancelCall();
    this.#break(run, 'the engine sent nothing in time', false);
  }

  #expire(run: AttemptRun): void {
    if (run.writer.isClosed()) return;
    const failure = fail('timed_out', 'the deadline passed while the target was working').val;
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
