import {
  chooseRetryAfter,
  chooseService,
  chooseStartWait,
  computeFreshMs,
  decideNextAttempt,
  fail,
  type AttemptOutcome,
  type DirectRoute,
  type DirectService,
  type DirectTarget,
  type ErrorKind,
  type RequestHead,
  type RouteTable,
  type StartObstacle,
} from '@limpetbay/core';
import type { DirectAnswer } from '@limpetbay/callers';
import { AttemptRun } from './AttemptRun.js';
import type { AttemptResult } from './AttemptResult.js';
import type { GatewayParts } from './GatewayParts.js';

interface Admission {
  readonly table: RouteTable;
  readonly route: DirectRoute;
  readonly service: DirectService;
  readonly workspace: string | null;
  readonly priority: number;
  /** When the caller or the route gives up, monotonic milliseconds. */
  readonly deadlineMs: number;
}

/** Wait that is told with failures that a short pause may mend, milliseconds. */
const RETRY_AFTER_MS = 200;

/** Other entries take over at once; the caller only has to choose one, milliseconds. */
const LEAVING_RETRY_MS = 20;

/** Time that a stream may need on a busy day, milliseconds. */
const STREAM_ROOM_MS = 4500;

const KEY_MISSING = 'an API key is needed';

/** The way of one request: from its route over its attempts to one answer. */
export class RequestRun {
  readonly #parts: GatewayParts;

  readonly #head: RequestHead;

  readonly #body: Buffer;

  readonly #answer: DirectAnswer;

  readonly #startMs: number;

  readonly #excluded = new Set<string>();

  #admission: Admission | null = null;

  #attempt: AttemptRun | null = null;

  #cancelDeadline: (() => void) | null = null;

  /** When the request arrived, or the caller got the last events. */
  #progressMs: number;

  #sent = 0;

  #unreachable = 0;

  /** Whether a target may have run the request; then no answer may say the contrary. */
  #mayHaveRun = false;

  /** Id of the last event that the caller has; null where it got none. */
  #lastEventId: string | null = null;

  #isOver = false;

  constructor(parts: GatewayParts, head: RequestHead, body: Buffer, answer: DirectAnswer) {
    this.#parts = parts;
    this.#head = head;
    this.#body = body;
    this.#answer = answer;
    this.#startMs = parts.clock.getNow();
    this.#progressMs = this.#startMs;
  }

  start(): void {
    this.#admission = this.#admit();
    if (this.#admission === null) return;
    const { service, deadlineMs } = this.#admission;
    this.#parts.getBudget(service.name).recordRequest();
    this.#cancelDeadline = this.#parts.timers.schedule(deadlineMs - this.#startMs, () =>
      this.#giveUp(),
    );
    this.#tryNext();
  }

  /** The caller has left. A request that may not be repeated goes on, since it may have begun. */
  cancel(): void {
    if (this.#isOver || this.#admission === null) return;
    this.#parts.metrics.increase('limpetbay_cancelled_total');
    this.#parts.log.report('caller left', { id: this.#head.id, ms: this.#getElapsedMs() });
    this.#end();
    if (this.#admission.route.kind === 'unsafe') return;
    this.#attempt?.cancel();
  }

  #admit(): Admission | null {
    const table = this.#parts.getTable();
    if (table === null) return this.#refuse('not_ready', 'no configuration yet', RETRY_AFTER_MS);
    const route = table.findRoute(this.#head.host, this.#head.path);
    if (route === undefined) return this.#refuse('unknown_service', 'no route matches');
    if (!this.#fitsBeforeEnd(route)) {
      return this.#refuse('leaving', 'this entry is stopping', LEAVING_RETRY_MS);
    }
    const isKeyed = table.hasWorkspaces() && !route.isPublic;
    const workspace = isKeyed ? table.findWorkspace(this.#head.apiKey ?? '') : null;
    if (workspace === undefined) return this.#refuse('missing_workspace', KEY_MISSING);
    const service = table.findService(chooseService(route, this.#parts.random));
    if (service === undefined) {
      return this.#refuse('no_target', 'the service of the route is unknown', RETRY_AFTER_MS);
    }
    const waitMs = Math.min(this.#head.timeoutMs ?? Infinity, route.timeoutMs);
    return {
      table,
      route,
      service,
      workspace: workspace?.name ?? null,
      priority: workspace?.priority ?? route.priority,
      deadlineMs: this.#startMs + waitMs,
    };
  }

  /** A stopping entry takes only what it can finish. */
  #fitsBeforeEnd(route: DirectRoute): boolean {
    const endMs = this.#parts.getEndMs();
    if (endMs === null) return true;
    const neededMs = route.kind === 'stream' ? STREAM_ROOM_MS : route.timeoutMs;
    return this.#startMs + neededMs <= endMs;
  }

  #tryNext(): void {
    const admission = this.#admission as Admission;
    const reason = this.#tryStart(admission);
    if (reason === null) return;
    const { route, service, priority } = admission;
    const silentMs = this.#parts.clock.getNow() - this.#progressMs;
    const wait = chooseStartWait(route, reason, silentMs, this.#sent > 0);
    if (wait.maxWaitMs === 0) {
      this.#refuseStart(admission, reason);
      return;
    }
    this.#parts.log.report('request waits for a target', {
      id: this.#head.id,
      reason,
      maxWaitMs: Math.round(wait.maxWaitMs),
    });
    let latest: StartObstacle = reason;
    const waiting = {
      service: service.name,
      priority,
      ...wait,
      tryStart: () => {
        if (this.#isOver) return true;
        const obstacle = this.#tryStart(admission);
        latest = obstacle ?? latest;
        return obstacle === null;
      },
      expire: () => {
        if (!this.#isOver) this.#refuseStart(admission, latest);
      },
    };
    this.#parts.queue.enqueue(waiting, this.#countWaitPlaces(service));
  }

  /** As many requests wait here as this entry's share of the places that one turn frees. */
  #countWaitPlaces({ name }: DirectService): number {
    const { registry, countEntries } = this.#parts;
    let places = 0;
    for (const { capacity } of registry.listTargets(name)) places += capacity;
    return Math.ceil(places / countEntries());
  }

  /** Sends the request if a target admits it. @returns null, or why none does */
  #tryStart(admission: Admission): StartObstacle | null {
    const picked = this.#parts.picker.pick({
      service: admission.service,
      excluded: this.#excluded,
      gapMs: admission.route.gapMs,
      isLate: this.#sent === 0 && computeFreshMs(admission.route, this.#getElapsedMs()) === 0,
    });
    if (picked.target === null) return picked.reason;
    this.#send(admission, picked.target, picked.reason);
    return null;
  }

  #refuseStart(admission: Admission, reason: StartObstacle): void {
    if (this.#mayHaveRun) {
      this.#refuse('outcome_unknown', `no further target: ${reason}`);
      return;
    }
    const isAway = reason === 'no_target' || reason === 'not_formed';
    const waitMs = chooseRetryAfter(admission.route, isAway ? 'away' : 'busy', this.#parts.random);
    this.#refuse(isAway ? 'no_target' : reason, `no target can take it: ${reason}`, waitMs);
  }

  #send(admission: Admission, target: DirectTarget, reason: string): void {
    const nowMs = this.#parts.clock.getNow();
    const timeoutMs = Math.floor(admission.deadlineMs - nowMs);
    const isModel = admission.service.engine !== null;
    const headers = this.#parts.codec.listTargetHeaders(this.#head, {
      targetId: target.id,
      timeoutMs,
      workspace: admission.workspace,
      priority: isModel ? admission.priority : null,
      lastEventId: this.#lastEventId,
    });
    this.#excluded.add(target.id);
    this.#sent += 1;
    this.#parts.log.report('request sent', {
      id: this.#head.id,
      route: admission.route.name,
      config: admission.table.config.version,
      target: target.id,
      attempt: this.#sent,
      leftMs: timeoutMs,
      reason,
    });
    this.#attempt = new AttemptRun({
      parts: this.#parts,
      route: admission.route,
      target,
      requestId: this.#head.id,
      call: { method: this.#head.method, url: this.#head.url, headers, body: this.#body },
      listener: {
        acceptEvents: (head, bytes, lastId) => {
          if (this.#isOver) return;
          if (!this.#answer.isStarted()) this.#answer.start(head.status, head.forwarded);
          if (lastId !== null) this.#lastEventId = lastId;
          this.#answer.write(bytes);
          this.#progressMs = this.#parts.clock.getNow();
        },
        acceptResult: (result) => this.#acceptResult(target, result),
      },
    });
    this.#attempt.start();
  }

  #acceptResult(target: DirectTarget, result: AttemptResult): void {
    this.#attempt = null;
    if (this.#isOver) return;
    if (result.kind === 'done') {
      this.#finish(result);
      return;
    }
    const { outcome } = result;
    if (outcome === 'unreachable') {
      this.#sent -= 1;
      this.#unreachable += 1;
    } else if (outcome !== 'rejected') this.#mayHaveRun = true;
    const next = this.#decideNext(outcome);
    this.#parts.metrics.increase(`limpetbay_attempt_failures_total{outcome="${outcome}"}`);
    this.#parts.log.warn('attempt failed', {
      id: this.#head.id,
      target: target.id,
      outcome,
      cause: result.message,
      ms: this.#getElapsedMs(),
      next,
    });
    if (next === 'retry') this.#tryNext();
    else this.#answerFailure(result, next);
  }

  #decideNext(outcome: AttemptOutcome): 'retry' | 'give_up' | 'no_budget' {
    const { route, service, deadlineMs } = this.#admission as Admission;
    const decision = decideNextAttempt(route, {
      outcome,
      sent: this.#sent,
      unreachable: this.#unreachable,
      leftMs: deadlineMs - this.#parts.clock.getNow(),
    });
    if (decision === 'give_up' || outcome === 'unreachable') return decision;
    return this.#parts.getBudget(service.name).take() ? 'retry' : 'no_budget';
  }

  #answerFailure(result: Exclude<AttemptResult, { kind: 'done' }>, next: string): void {
    const { outcome, message } = result;
    if (this.#answer.isStarted()) {
      this.#abort(message);
    } else if (outcome === 'failed' && result.answer !== null) {
      // The target's own failure says more than one of ours.
      const { head, body } = result.answer;
      this.#answer.send(head.status, head.forwarded, body);
      this.#recordEnd(head.status, next);
    } else if (this.#mayHaveRun) this.#refuse('outcome_unknown', message);
    else {
      const { route } = this.#admission as Admission;
      const waitMs = chooseRetryAfter(route, 'away', this.#parts.random);
      this.#refuse(outcome === 'unreachable' ? 'no_target' : 'overloaded', message, waitMs);
    }
  }

  #finish(result: Extract<AttemptResult, { kind: 'done' }>): void {
    const { head, body } = result;
    if (this.#answer.isStarted()) this.#answer.end(body);
    else this.#answer.send(head.status, head.forwarded, body);
    this.#recordEnd(head.status, 'answered');
  }

  #giveUp(): void {
    if (this.#isOver) return;
    const isRunning = this.#attempt !== null;
    if (this.#answer.isStarted()) this.#abort('the time limit has passed');
    else if (isRunning || this.#mayHaveRun) this.#refuse('timed_out', 'no answer in time');
    else this.#refuse('no_target', 'no target in time', RETRY_AFTER_MS);
    if (this.#admission?.route.kind !== 'unsafe') this.#attempt?.cancel();
  }

  #abort(reason: string): void {
    this.#answer.destroy();
    this.#parts.metrics.increase('limpetbay_aborted_total');
    this.#parts.log.warn('answer broken off', {
      id: this.#head.id,
      reason,
      ms: this.#getElapsedMs(),
    });
    this.#end();
  }

  #refuse(kind: ErrorKind, message: string, retryAfterMs?: number): null {
    if (this.#answer.isStarted()) {
      this.#abort(message);
      return null;
    }
    this.#answer.fail(
      fail(kind, message, retryAfterMs).val,
      this.#parts.codec.listOwnHeaders(this.#head),
    );
    this.#parts.metrics.increase(`limpetbay_refused_total{kind="${kind}"}`);
    this.#parts.log.warn('request refused', {
      id: this.#head.id,
      kind,
      reason: message,
      retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
      ms: this.#getElapsedMs(),
    });
    this.#end();
    return null;
  }

  #recordEnd(status: number, decision: string): void {
    const ms = this.#getElapsedMs();
    this.#parts.metrics.increase(`limpetbay_answers_total{status="${status}"}`);
    this.#parts.metrics.record('limpetbay_answer_ms', ms);
    this.#parts.log.report('request answered', { id: this.#head.id, status, ms, decision });
    this.#end();
  }

  #getElapsedMs(): number {
    return Math.round(this.#parts.clock.getNow() - this.#startMs);
  }

  #end(): void {
    this.#isOver = true;
    this.#cancelDeadline?.();
  }
}
