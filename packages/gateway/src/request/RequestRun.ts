import {
  chooseRetryAfter,
  chooseService,
  chooseStartWait,
  computeFingerprint,
  computeStartSlackMs,
  decideNextAttempt,
  fail,
  isFingerprint,
  type AttemptOutcome,
  type BudgetedBody,
  type DirectRoute,
  type DirectService,
  type DirectTarget,
  type ErrorKind,
  type RequestHead,
  type SuspectDecision,
  type UnavailableReason,
} from '@limpetbay/core';
import type { DirectAnswer } from '@limpetbay/callers';
import type { RequestShare } from '../shares/RequestShare.js';
import { SuspectTracker } from '../suspects/SuspectTracker.js';
import { AttemptRun } from './AttemptRun.js';
import type { AnswerHead } from '../ports/AnswerHead.js';
import type { AttemptResult } from './AttemptResult.js';
import type { RequestContext } from './RequestContext.js';

interface ReceivedRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly answer: DirectAnswer;
  /** When it was read, monotonic milliseconds; its time limits count from then. */
  readonly receivedMs: number;
}

interface Admission {
  /** Not its table, which may be as large as the heap allows, and lasts as long as the request then. */
  readonly configVersion: number;
  readonly route: DirectRoute;
  readonly service: DirectService;
  readonly workspace: string | null;
  readonly priority: number;
  /** 0 for the most urgent class of the service, then 1 and so on. */
  readonly urgencyRank: number;
  readonly tracker: SuspectTracker;
  /** When the time limit of the caller or of the route passes, monotonic milliseconds. */
  readonly deadlineMs: number;
}

type Blocked = Omit<Extract<SuspectDecision, { kind: 'blocked' }>, 'kind'>;

type Trial = Extract<SuspectDecision, { kind: 'trial' }>;

type AnsweredAttempt = Extract<AttemptResult, { kind: 'answered' }>;

type FailedAttempt = Extract<AttemptResult, { kind: 'failed' }>;

/** Limited targets that are asked for one request; more would delay its refusal. */
const MAX_DENIED_GRANTS = 2;

/** Time after which no further limited target is asked; lost datagrams may use it up. */
const MAX_ASKING_MS = 40;

/** Retry-After of failures that are probably over after a short wait. */
const RETRY_AFTER_MS = 200;

/** Spread of the retries of callers that were refused while all targets back off. */
const MAX_BACKOFF_SPREAD_MS = 500;

/** Retry-After while this entry stops; short, because other entries are available at once. */
const STOPPING_RETRY_AFTER_MS = 20;

/** Time after the end of a target within which the entries have told each other of it. */
const END_REPORTS_MS = 20;

/** Bytes of an answer that wait for its caller, beyond which it is not read from its target. */
const MAX_UNSENT_BYTES = 1_048_576;

/** The same where memory is short. */
const MAX_UNSENT_BYTES_IF_SHORT = 16_384;

/** Least time to allow for a stream; more if streams of its route recently lasted longer. */
const MIN_STREAM_DURATION_MS = 4500;

/** Retry-After of a request whose body had no space among those of others. */
const NO_SPACE_RETRY_AFTER_MS = 500;

/** Classes of requests with a label of their own, so that metrics stay few. */
const MAX_CLASS_LABELS = 4;

const EMPTY_BODY = Buffer.alloc(0);

const API_KEY_REQUIRED = 'a valid API key is required';

/** Processes one request: finds its route, runs its attempts and sends one answer. */
export class RequestRun {
  readonly #context: RequestContext;

  readonly #head: RequestHead;

  #body: Buffer;

  /** The body as the budget sees it; once a target may have run the request, it is not dropped. */
  readonly #heldBody: BudgetedBody = {
    isPinned: () => this.#hasEnded || this.#sentAttempts > 0 || this.#mayHaveRun,
    evict: () => this.#refuseWithoutSpace(),
  };

  readonly #answer: DirectAnswer;

  readonly #startMs: number;

  readonly #excludedTargets = new Set<string>();

  #admission: Admission | null = null;

  /** Null where workspaces have no shares. */
  #share: RequestShare | null = null;

  #attempt: AttemptRun | null = null;

  #cancelDeadline: (() => void) | null = null;

  #unsubscribeStop: (() => void) | null = null;

  /** When the request arrived or the caller was last sent events. */
  #progressMs: number;

  /** Limited targets that took no request of this run since it last waited. */
  #deniedGrants = 0;

  /** When the first of these was asked, monotonic milliseconds; null before. */
  #askingSinceMs: number | null = null;

  #sentAttempts = 0;

  /** When the first attempt started, monotonic milliseconds; null before. */
  #firstAttemptMs: number | null = null;

  #unreachableAttempts = 0;

  /** Whether a target may have run the request; no answer may then say that it did not run. */
  #mayHaveRun = false;

  /** Id of the last event sent to the caller; null before the first or if it has none. */
  #lastEventId: string | null = null;

  /** Whether the answer was ever read at the pace of its caller. */
  #isHeldBack = false;

  /** Whether the caller is sent a body before its end. */
  #isForwarding = false;

  #hasEnded = false;

  constructor(context: RequestContext, { head, body, answer, receivedMs }: ReceivedRequest) {
    this.#context = context;
    this.#head = head;
    this.#body = body;
    this.#answer = answer;
    this.#startMs = receivedMs;
    this.#progressMs = this.#startMs;
  }

  start(): void {
    this.#admission = this.#admit();
    if (this.#admission === null) return;
    const { service, deadlineMs } = this.#admission;
    if (deadlineMs <= this.#context.clock.getNow()) {
      const reason = 'its time passed behind other requests of the connection';
      this.#refuse('no_target', reason, RETRY_AFTER_MS);
      return;
    }
    this.#context.bodyBudget.update(this.#heldBody, this.#body.length);
    if (this.#hasEnded) return;
    this.#context.getBudget(service.name).recordRequest();
    this.#unsubscribeStop = this.#context.stopDeadline.subscribe(() => this.#scheduleDeadline());
    this.#scheduleDeadline();
    this.#share = this.#context.shares.track(this.#head, this.#admission);
    this.#startOrQueue();
  }

  #scheduleDeadline(): void {
    this.#cancelDeadline?.();
    const leftMs = this.#getDeadlineMs() - this.#context.clock.getNow();
    this.#cancelDeadline = this.#context.timers.schedule(leftMs, () => this.#handleDeadline());
  }

  /**
   * When the request must be answered; before its time limit passes if the entry stops earlier. A body
   * that arrives at the pace of its caller was ready in time.
   */
  #getDeadlineMs(): number {
    const { deadlineMs } = this.#admission as Admission;
    if (this.#isForwarding) return this.#context.stopDeadline.getMs();
    return Math.min(deadlineMs, this.#context.stopDeadline.getMs());
  }

  /**
   * Handles a caller that disconnected. An attempt that may not be repeated continues,
   * because the target may already be running it.
   */
  cancel(): void {
    if (this.#hasEnded || this.#admission === null) return;
    this.#context.metrics.increase('limpetbay_cancelled_total');
    this.#context.log.report('caller disconnected', {
      id: this.#head.id,
      ms: this.#getElapsedMs(),
    });
    this.#end();
    this.#stopAttempt(this.#admission);
  }

  /**
   * Ends the attempt of a request whose caller waits no more. A target that may not be asked again
   * can finish, but its answer is not used.
   */
  #stopAttempt({ route, tracker }: Admission): void {
    if (route.kind === 'unsafe') {
      this.#attempt?.discardAnswer();
      return;
    }
    this.#attempt?.cancel();
    this.#share?.recordCancel();
    this.#releaseBody();
    tracker.endTrial();
  }

  #refuseWithoutSpace(reason = 'too many bodies wait'): void {
    this.#refuse('overloaded', reason, NO_SPACE_RETRY_AFTER_MS);
  }

  /** Gives up the body, which a queue would otherwise keep until the request leaves it. */
  #releaseBody(): void {
    this.#body = EMPTY_BODY;
    this.#context.bodyBudget.update(this.#heldBody, 0);
  }

  #admit(): Admission | null {
    const table = this.#context.getTable();
    if (table === null) return this.#refuse('not_ready', 'no configuration yet', RETRY_AFTER_MS);
    const route = table.findRoute(this.#head.host, this.#head.path);
    if (route === undefined) return this.#refuse('unknown_service', 'no route for host and path');
    if (!this.#canFinishBeforeStop(route)) return this.#refuseLeaving();
    const isKeyed = table.hasWorkspaces() && !route.isPublic;
    const workspace = isKeyed ? table.findWorkspace(this.#head.apiKey ?? '') : null;
    if (workspace === undefined) return this.#refuse('missing_workspace', API_KEY_REQUIRED);
    const service = table.findService(chooseService(route, this.#context.random));
    if (service === undefined) {
      return this.#refuse(
        'no_target',
        'the service of the route is not configured',
        RETRY_AFTER_MS,
      );
    }
    const waitMs = Math.min(this.#head.timeoutMs ?? Infinity, route.timeoutMs);
    const priority = workspace?.priority ?? route.priority;
    return {
      configVersion: table.config.version,
      route,
      service,
      workspace: workspace?.name ?? null,
      priority,
      urgencyRank: table.rankPriority(service.name, priority),
      tracker: this.#createTracker(workspace?.name ?? null),
      deadlineMs: this.#startMs + waitMs,
    };
  }

  /**
   * Returns whether an attempt that starts now can finish before this entry stops; always true
   * unless it stops. A repeated request other than a stream may be tried until the stop, because
   * its caller gets an answer then at the latest.
   */
  #canFinishBeforeStop(route: DirectRoute): boolean {
    const stopMs = this.#context.stopDeadline.getMs();
    if (route.kind === 'stream') {
      const { clock, streamDurations } = this.#context;
      const longestMs = Math.max(MIN_STREAM_DURATION_MS, streamDurations.getLargest(route.name));
      return clock.getNow() + longestMs <= stopMs;
    }
    return this.#mayHaveRun || this.#startMs + route.timeoutMs <= stopMs;
  }

  #refuseLeaving(): null {
    if (this.#mayHaveRun) {
      return this.#refuse('outcome_unknown', 'this entry is stopping; no time for another attempt');
    }
    return this.#refuse(
      'leaving',
      'this entry is stopping; use another one',
      STOPPING_RETRY_AFTER_MS,
    );
  }

  /** @param workspace of the API key; null where keys are not checked */
  #createTracker(workspace: string | null): SuspectTracker {
    const { method, host, url, apiKey, callerAddress, prompt, promptParts } = this.#head;
    let caller = `address ${callerAddress ?? 'unknown'}`;
    if (workspace !== null) caller = `workspace ${workspace}`;
    else if (apiKey !== null) caller = `key ${apiKey}`;
    const request = { method, host, url, caller, body: this.#body };
    const fingerprints = [computeFingerprint(request)];
    // Requests that differ in their prompts only are told apart by a second fingerprint.
    if (prompt !== '') fingerprints.push(computeFingerprint({ ...request, prompt }));
    const { suspects, endCheck } = this.#context;
    return new SuspectTracker({
      breaker: suspects,
      endCheck,
      suspects: [...fingerprints, ...promptParts],
    });
  }

  #startOrQueue(): void {
    const admission = this.#admission as Admission;
    const { route, service, urgencyRank } = admission;
    const waitReason = this.#findWaitReason(admission);
    const reason = waitReason ?? this.#tryStart(admission);
    if (reason === null) return;
    const noProgressMs = this.#context.clock.getNow() - this.#progressMs;
    const waitLimits = chooseStartWait(
      route,
      reason,
      noProgressMs,
      this.#sentAttempts > 0,
      this.#getBackoffMs(service) ?? Infinity,
    );
    if (waitLimits.maxWaitMs === 0) {
      this.#refuseWithoutTarget(admission, reason);
      return;
    }
    this.#context.log.report('request queued until a target can start it', {
      id: this.#head.id,
      reason,
      maxWaitMs: Math.round(waitLimits.maxWaitMs),
    });
    this.#deniedGrants = 0;
    this.#askingSinceMs = null;
    let lastReason: UnavailableReason = reason;
    const queuedRequest = {
      service: service.name,
      urgencyRank,
      ...waitLimits,
      isRestricted: () => this.#excludedTargets.size > 0 || this.#share?.hasFoundKvFull() === true,
      getReason: () => lastReason,
      tryStart: () => {
        if (this.#hasEnded) return true;
        const currentReason = this.#tryStart(admission, true);
        lastReason = currentReason ?? lastReason;
        if (currentReason !== 'target_backoff') return currentReason === null;
        const backoffMs = this.#getBackoffMs(service) ?? Infinity;
        if (backoffMs < waitLimits.maxWaitMs) return false;
        this.#refuseWithoutTarget(admission, currentReason);
        return true;
      },
      expire: () => {
        if (!this.#hasEnded) this.#refuseWithoutTarget(admission, lastReason);
      },
    };
    const wait = this.#share?.createWait(queuedRequest, reason) ?? queuedRequest;
    const { queue } = this.#context;
    queue.enqueue(wait, this.#computeQueueCapacity(service));
    // The request may precede others that can start now.
    if (waitReason !== null) queue.advance();
  }

  /**
   * Returns why a stream waits before any attempt to start it: others precede it, or its workspace
   * exceeds its share. Null if it does not.
   */
  #findWaitReason({ route, service, urgencyRank }: Admission): UnavailableReason | null {
    if (route.kind !== 'stream') return null;
    const slackMs = computeStartSlackMs(route, this.#getElapsedMs());
    if (this.#share?.shouldQueue(slackMs) === true) return 'overloaded';
    return this.#context.queue.findPrecedingReason(service.name, urgencyRank);
  }

  /**
   * Limits the queue of a service to this entry's share of the capacity of its targets: that many
   * requests start when the targets finish those in progress.
   */
  #computeQueueCapacity({ name }: DirectService): number {
    const { registry, countEntries } = this.#context;
    let slots = 0;
    for (const { capacity } of registry.listTargets(name)) slots += capacity;
    return Math.ceil(slots / countEntries());
  }

  /** Returns when a target takes requests again, if all back off; null otherwise. */
  #getBackoffMs({ name }: DirectService): number | null {
    return this.#context.holds.getBackoffMs(this.#context.registry.listTargets(name));
  }

  /** Returns whether a chosen target still takes requests, after a wait for a grant. */
  #isStillUsable(target: DirectTarget): boolean {
    const state = this.#context.holds.getState(target);
    return state === 'open' || state === 'last_resort';
  }

  /**
   * Starts an attempt if a target admits the request, or refuses it if it can no longer be served.
   *
   * @param hasWaited whether the request waits in the queue
   * @returns null if it no longer waits, or the reason
   */
  #tryStart(admission: Admission, hasWaited = false): UnavailableReason | null {
    if (!this.#canFinishBeforeStop(admission.route)) return this.#refuseLeaving();
    const decision = admission.tracker.check();
    if (decision.kind === 'blocked') {
      this.#refuseBlocked(decision);
      return null;
    }
    const pick = this.#context.picker.pick({
      service: admission.service,
      excluded: this.#excludedTargets,
      gapMs: admission.route.gapMs,
      mayUseLimited: this.#mayAskLimited(),
      urgencyRank: admission.urgencyRank,
      hasWaited,
      isLate:
        this.#sentAttempts === 0 &&
        computeStartSlackMs(admission.route, this.#getElapsedMs()) === 0,
      ...(this.#share !== null && { hasKvSpace: this.#share.hasKvSpace }),
    });
    if (pick.target === null) return pick.reason;
    if (this.#context.limits.isLimited(pick.target)) {
      void this.#startWithinLimit(admission, pick.target, pick.reason);
    } else if (this.#shouldStartTrial(decision)) {
      void this.#startTrial(admission, pick.target, decision);
    } else this.#startAttempt(admission, pick.target, pick.reason);
    return null;
  }

  /** Returns whether a target with a limit may be asked, without delaying a refusal for long. */
  #mayAskLimited(): boolean {
    if (this.#askingSinceMs === null) return true;
    const askingMs = this.#context.clock.getNow() - this.#askingSinceMs;
    return this.#deniedGrants < MAX_DENIED_GRANTS && askingMs < MAX_ASKING_MS;
  }

  /** Sends the request if the limit of the target allows it; else it goes to another target. */
  async #startWithinLimit(
    admission: Admission,
    target: DirectTarget,
    reason: string,
  ): Promise<void> {
    this.#askingSinceMs ??= this.#context.clock.getNow();
    const isGranted = await this.#context.limits.acquire(target);
    if (this.#hasEnded) return;
    if (!isGranted) {
      this.#deniedGrants += 1;
      this.#startOrQueue();
      return;
    }
    this.#deniedGrants = 0;
    this.#askingSinceMs = null;
    const decision = admission.tracker.check();
    if (decision.kind === 'blocked') this.#refuseBlocked(decision);
    else if (!this.#isStillUsable(target)) this.#startOrQueue();
    else if (this.#shouldStartTrial(decision)) {
      void this.#startTrial(admission, target, decision);
    } else this.#startAttempt(admission, target, reason);
  }

  /** A request with one end is repeated without a trial, as most targets end for other reasons. */
  #shouldStartTrial(decision: SuspectDecision): decision is Trial {
    return decision.kind === 'trial' && (decision.isRequired || this.#sentAttempts === 0);
  }

  /** Sends the request if no other request with the same suspects is on trial. */
  async #startTrial(admission: Admission, target: DirectTarget, trial: Trial): Promise<void> {
    const maySend = await admission.tracker.acquireTrial(trial);
    if (this.#hasEnded) admission.tracker.endTrial();
    else if (maySend && !this.#isStillUsable(target)) {
      admission.tracker.endTrial();
      this.#startOrQueue();
    } else if (maySend) this.#startAttempt(admission, target, 'trial of a suspect');
    else {
      const [suspect = ''] = trial.suspects;
      this.#refuseSuspect(`${describeSuspect(suspect)} is on trial`, RETRY_AFTER_MS);
    }
  }

  #refuseBlocked({ suspect, ends, retryAfterMs }: Blocked): void {
    this.#refuseSuspect(`${ends} targets ended on ${describeSuspect(suspect)}`, retryAfterMs);
  }

  #refuseSuspect(message: string, retryAfterMs: number): void {
    if (this.#mayHaveRun) this.#refuse('outcome_unknown', message);
    else this.#refuse('request_blocked', message, retryAfterMs);
  }

  #refuseWithoutTarget(admission: Admission, reason: UnavailableReason): void {
    const label = `class="${getClassLabel(admission)}",reason="${reason}"`;
    this.#context.metrics.increase(`limpetbay_unplaced_requests_total{${label}}`);
    if (this.#mayHaveRun) {
      this.#refuse('outcome_unknown', `no target for another attempt: ${reason}`);
      return;
    }
    const message = `no target can start the request: ${reason}`;
    if (reason === 'target_limited') {
      const { limits, registry, random } = this.#context;
      const targets = registry.listTargets(admission.service.name);
      // The random spread keeps callers that were refused together from retrying together.
      const waitMs = limits.getRetryAfterMs(targets) * (1 + random.next() / 2);
      this.#refuse('overloaded', message, waitMs);
      return;
    }
    if (reason === 'target_backoff') {
      this.#refuse('overloaded', message, this.#chooseRetryAfter(admission, 'busy'));
      return;
    }
    const isUnavailable = reason === 'no_target' || reason === 'not_formed';
    const waitMs = this.#chooseRetryAfter(admission, isUnavailable ? 'away' : 'busy');
    this.#refuse(isUnavailable ? 'no_target' : reason, message, waitMs);
  }

  /** Chooses when a refused caller should retry; if all targets back off, not before one is back. */
  #chooseRetryAfter({ route, service }: Admission, cause: 'busy' | 'away'): number {
    const { random } = this.#context;
    const backoffMs = this.#getBackoffMs(service);
    if (backoffMs === null) return chooseRetryAfter(route, cause, random);
    return backoffMs + random.next() * Math.min(backoffMs / 2, MAX_BACKOFF_SPREAD_MS);
  }

  #startAttempt(admission: Admission, target: DirectTarget, reason: string): void {
    if (this.#sentAttempts === 0 && !this.#mayHaveRun) {
      const { bodyBudget, answerBudget, bodySizes } = this.#context;
      const hasSpace = answerBudget.hasSpace(bodySizes.getLargest(admission.route.name));
      if (!hasSpace || !bodyBudget.canPin(this.#body.length)) {
        admission.tracker.endTrial();
        this.#refuseWithoutSpace(hasSpace ? undefined : 'too many answers wait for their callers');
        return;
      }
    }
    const nowMs = this.#context.clock.getNow();
    if (this.#firstAttemptMs === null) {
      const isLate = computeStartSlackMs(admission.route, this.#getElapsedMs()) === 0;
      const label = `class="${getClassLabel(admission)}",late="${isLate}"`;
      this.#context.metrics.increase(`limpetbay_started_requests_total{${label}}`);
    }
    this.#firstAttemptMs ??= nowMs;
    const timeoutMs = Math.floor(this.#getDeadlineMs() - nowMs);
    const isModel = admission.service.engine !== null;
    const headers = this.#context.codec.listTargetHeaders(this.#head, {
      targetId: target.id,
      timeoutMs,
      workspace: admission.workspace,
      priority: isModel ? admission.priority : null,
      lastEventId: this.#lastEventId,
    });
    this.#excludedTargets.add(target.id);
    this.#sentAttempts += 1;
    this.#context.log.report('request sent', {
      id: this.#head.id,
      route: admission.route.name,
      config: admission.configVersion,
      target: target.id,
      attempt: this.#sentAttempts,
      leftMs: timeoutMs,
      class: isModel ? admission.urgencyRank : undefined,
      passMs: this.#context.picker.getPassMs(target),
      reason,
    });
    const resumedAfter = this.#lastEventId ?? this.#head.lastEventId;
    admission.tracker.startAttempt(resumedAfter !== null);
    this.#share?.recordStart(target.id);
    this.#attempt = new AttemptRun({
      context: this.#context,
      route: admission.route,
      target,
      awaited: {
        route: admission.route,
        requestId: this.#head.id,
        resumedAfter,
        hasBegun: this.#answer.isStarted(),
        mayHaveRun: this.#mayHaveRun,
      },
      call: { method: this.#head.method, url: this.#head.url, headers, body: this.#body },
      listener: {
        onEvents: (head, bytes, lastId) =>
          this.#runStep(() => {
            if (this.#hasEnded) return;
            admission.tracker.handleEvents();
            if (!this.#answer.isStarted()) this.#answer.start(head.status, head.forwarded);
            this.#lastEventId = lastId;
            this.#answer.write(bytes);
            this.#progressMs = this.#context.clock.getNow();
            this.#holdBack();
          }),
        onBody: (head, parts, length) => this.#runStep(() => this.#forward(head, parts, length)),
        canBeReplaced: () => this.#canReplaceAttempt(),
        onResult: (result) => this.#runStep(() => this.#handleResult(target, result)),
      },
    });
    this.#attempt.start();
  }

  /**
   * Runs a step of the request. If it throws, the caller gets an answer at once, which does not say
   * that the request did not run; the error goes to the process.
   */
  #runStep(step: () => void): void {
    try {
      step();
    } catch (error) {
      if (!this.#hasEnded) {
        this.#refuse('internal', 'the answer of the target could not be handled');
        this.#stopAttempt(this.#admission as Admission);
      }
      throw error;
    }
  }

  /** Passes on parts of a body. Its target waits while the caller has not taken them. */
  #forward(head: AnswerHead, parts: readonly Buffer[], length: number | null): void {
    if (this.#hasEnded) return;
    if (!this.#answer.isStarted()) {
      this.#isForwarding = true;
      this.#scheduleDeadline();
      const framing = length === null ? [] : ['Content-Length', String(length)];
      this.#answer.start(head.status, [...head.forwarded, ...framing]);
    }
    for (const part of parts) this.#answer.write(part);
    this.#holdBack();
  }

  /** Stops to read the answer from its target until the caller has taken enough of it. */
  #holdBack(): void {
    const isShort = this.#context.answerBudget.isShort();
    const maxBytes = isShort ? MAX_UNSENT_BYTES_IF_SHORT : MAX_UNSENT_BYTES;
    const unsentBytes = this.#answer.countUnsentBytes();
    if (unsentBytes <= maxBytes) return;
    if (!this.#isHeldBack) {
      this.#isHeldBack = true;
      this.#context.metrics.increase('limpetbay_held_back_answers_total');
      this.#context.log.report('the answer is read at the pace of its caller', {
        id: this.#head.id,
        unsentBytes,
        isShort,
      });
    }
    const attempt = this.#attempt;
    attempt?.suspend();
    this.#answer.waitUntilTaken(maxBytes, () => attempt?.resume());
  }

  #handleResult(target: DirectTarget, result: AttemptResult): void {
    this.#attempt = null;
    this.#share?.recordResult(result);
    if (this.#hasEnded) this.#releaseBody();
    const { route, tracker } = this.#admission as Admission;
    if (result.kind === 'answered') {
      this.#mayHaveRun = true;
      tracker.handleDone(route, result.head.status);
      if (!this.#hasEnded) this.#finish(target, result);
    } else if (tracker.isSuspect(result)) void this.#handleSuspectCut(target, result);
    else {
      tracker.endTrial();
      this.#handleFailure(target, result, true);
    }
  }

  /** Handles an attempt that broke off, perhaps because the request ended its target. */
  async #handleSuspectCut(target: DirectTarget, result: FailedAttempt): Promise<void> {
    this.#mayHaveRun = true;
    const { route, tracker } = this.#admission as Admission;
    const isMidway = tracker.isMidway();
    const check = tracker.checkEnd(route, target, result);
    if (isMidway && !tracker.hasEnds()) {
      // Most streams under way did not end their target, so they are resumed without delay.
      this.#handleFailure(target, result, true);
      return;
    }
    const hasEnded = await check;
    tracker.endTrial();
    if (!hasEnded) {
      this.#handleFailure(target, result, true);
      return;
    }
    // Copies of the request may have ended other targets at the same moment.
    const mayRetry = result.progress === 'none' || isMidway;
    this.#context.timers.schedule(END_REPORTS_MS, () =>
      this.#handleFailure(target, result, mayRetry),
    );
  }

  /** @param mayRetry false for a request that probably ended its target */
  #handleFailure(target: DirectTarget, result: FailedAttempt, mayRetry: boolean): void {
    if (this.#hasEnded) return;
    const { outcome } = result;
    if (outcome === 'unreachable') {
      this.#sentAttempts -= 1;
      this.#unreachableAttempts += 1;
    } else if (outcome !== 'rejected') this.#mayHaveRun = true;
    const next = mayRetry ? this.#decideNext(outcome) : 'give_up';
    this.#context.metrics.increase(`limpetbay_attempt_failures_total{outcome="${outcome}"}`);
    this.#context.log.warn('attempt failed', {
      id: this.#head.id,
      target: target.id,
      outcome,
      cause: result.cause,
      progress: result.progress,
      ...result.trace,
      hasBegun: this.#answer.isStarted(),
      suspects: this.#admission?.tracker.suspects,
      ms: this.#getElapsedMs(),
      next,
    });
    if (next === 'retry') this.#startOrQueue();
    else this.#answerFailure(result, next);
  }

  /**
   * Returns whether another attempt may follow, if the running one is given up for the silence of its
   * target. An answer that has not begun may end with a failure instead, unless this entry stops.
   */
  #canReplaceAttempt(): boolean {
    const { route, service } = this.#admission as Admission;
    if (route.kind === 'stream' && !this.#canFinishBeforeStop(route)) return false;
    if (!this.#answer.isStarted()) return true;
    const targets = this.#context.registry.listTargets(service.name);
    return (
      this.#decideAttempt('broken') === 'retry' &&
      this.#context.getBudget(service.name).getTokens() >= 1 &&
      targets.some((target) => !this.#excludedTargets.has(target.id) && this.#isStillUsable(target))
    );
  }

  #decideNext(outcome: AttemptOutcome): 'retry' | 'give_up' | 'no_budget' {
    const { service } = this.#admission as Admission;
    const decision = this.#decideAttempt(outcome);
    if (decision === 'give_up' || outcome === 'unreachable') return decision;
    return this.#context.getBudget(service.name).take() ? 'retry' : 'no_budget';
  }

  #decideAttempt(outcome: AttemptOutcome): 'retry' | 'give_up' {
    const { route } = this.#admission as Admission;
    return decideNextAttempt(route, {
      outcome,
      sentCount: this.#sentAttempts,
      unreachableCount: this.#unreachableAttempts,
      isPositionUnknown: this.#answer.isStarted() && this.#lastEventId === null,
      remainingMs: this.#getDeadlineMs() - this.#context.clock.getNow(),
    });
  }

  #answerFailure({ outcome, cause, ifLast, head, body }: FailedAttempt, next: string): void {
    if (ifLast === 'abort') this.#abort(cause);
    else if (ifLast === 'forward' && head !== null) {
      // The error answer of the target is more specific than a generated one.
      this.#answer.send(head.status, head.forwarded, body);
      this.#recordEnd(head.status, next);
    } else if (ifLast === 'outcome_unknown') this.#refuse('outcome_unknown', cause);
    else {
      const waitMs = this.#chooseRetryAfter(this.#admission as Admission, 'away');
      this.#refuse(outcome === 'unreachable' ? 'no_target' : 'overloaded', cause, waitMs);
    }
  }

  #finish(target: DirectTarget, { head, body, trace }: AnsweredAttempt): void {
    if (this.#answer.isStarted()) {
      this.#answer.end(body);
      this.#recordStreamDuration();
    } else this.#answer.send(head.status, head.forwarded, body);
    this.#recordEnd(head.status, 'answered', {
      target: target.id,
      attempt: this.#sentAttempts,
      framing: trace.framing,
    });
  }

  #recordStreamDuration(): void {
    const { clock, streamDurations } = this.#context;
    const { route } = this.#admission as Admission;
    if (route.kind !== 'stream' || this.#firstAttemptMs === null) return;
    streamDurations.record(route.name, clock.getNow() - this.#firstAttemptMs);
  }

  #handleDeadline(): void {
    if (this.#hasEnded) return;
    const isRunning = this.#attempt !== null;
    if (this.#answer.isStarted()) this.#abort('the deadline has passed');
    else if (isRunning || this.#mayHaveRun) this.#refuse('timed_out', 'no answer by the deadline');
    else this.#refuse('no_target', 'no target by the deadline', RETRY_AFTER_MS);
    this.#stopAttempt(this.#admission as Admission);
  }

  #abort(reason: string): void {
    this.#answer.destroy();
    this.#context.metrics.increase('limpetbay_aborted_total');
    this.#context.log.warn('answer aborted', {
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
      this.#context.codec.listOwnHeaders(this.#head),
    );
    this.#context.metrics.increase(`limpetbay_refused_total{kind="${kind}"}`);
    this.#context.log.warn('request refused', {
      id: this.#head.id,
      kind,
      reason: message,
      retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
      ms: this.#getElapsedMs(),
    });
    this.#end();
    return null;
  }

  #recordEnd(status: number, decision: string, details: object = {}): void {
    const ms = this.#getElapsedMs();
    this.#context.metrics.increase(`limpetbay_answers_total{status="${status}"}`);
    this.#context.metrics.record('limpetbay_answer_ms', ms);
    this.#context.log.report('request answered', {
      id: this.#head.id,
      ms,
      decision,
      ...details,
      status,
    });
    this.#end();
  }

  #getElapsedMs(): number {
    return Math.round(this.#context.clock.getNow() - this.#startMs);
  }

  #end(): void {
    this.#hasEnded = true;
    this.#share?.endWait('left');
    this.#cancelDeadline?.();
    this.#unsubscribeStop?.();
    // An attempt that goes on still holds the body.
    if (this.#attempt === null) this.#releaseBody();
  }
}

/** Returns the class of a request for metrics; many classes share the last label. */
function getClassLabel({ urgencyRank }: Admission): string {
  return urgencyRank < MAX_CLASS_LABELS ? String(urgencyRank) : 'other';
}

function describeSuspect(suspect: string): string {
  return isFingerprint(suspect) ? `this request (${suspect})` : `prompt part ${suspect}`;
}
