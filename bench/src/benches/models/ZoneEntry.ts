import type { ErrorKind, Failure, RandomSource, RouteDecision, TargetId } from '@limpetbay/core';
import {
  RetryBudget,
  Router,
  ServiceName,
  Workspace,
  answerTable,
  decideRetry,
} from '@limpetbay/core';
import type { EventQueue } from './EventQueue.js';
import type { ZoneTarget } from './ZoneTarget.js';

const LINK_MS = 1;

/** Silence after which an entry gives up an attempt. */
const SILENCE_MS = 3000;

const service = ServiceName.parse('canerota');
const workspace = Workspace.parse('estate');

/** A request of the bench and what became of it. */
interface ZoneRequest {
  readonly startMs: number;
  readonly deadlineMs: number;
  attempts: number;
  mayHaveRun: boolean;
  bytesSent: boolean;
  readonly tried: Set<TargetId>;
  readonly onEnd: (failure: Failure | null) => void;
}

/** An entry: picks targets, watches for silence, retries and resumes within its budget. */
export class ZoneEntry {
  readonly #queue: EventQueue;

  readonly #router: Router;

  readonly #random: RandomSource;

  readonly #targets: ReadonlyMap<TargetId, ZoneTarget>;

  readonly #budget = new RetryBudget();

  requests = 0;

  /** Retries and resumes that took from the budget. */
  retries = 0;

  /** Attempts given up after silence. */
  silent = 0;

  constructor(
    queue: EventQueue,
    router: Router,
    random: RandomSource,
    targets: ReadonlyMap<TargetId, ZoneTarget>,
  ) {
    this.#queue = queue;
    this.#router = router;
    this.#random = random;
    this.#targets = targets;
  }

  /** @param onEnd receives null for a complete answer, else what the caller is told */
  send(timeoutMs: number, onEnd: (failure: Failure | null) => void): void {
    this.requests += 1;
    this.#budget.recordRequest();
    const startMs = this.#queue.clock.getNow();
    this.#attempt({
      startMs,
      deadlineMs: startMs + timeoutMs,
      attempts: 0,
      mayHaveRun: false,
      bytesSent: false,
      tried: new Set(),
      onEnd,
    });
  }

  #attempt(request: ZoneRequest): void {
    const picked = this.#router.pick({
      service,
      workspace,
      priority: 'normal',
      promptTokens: 500,
      maxTokens: 300,
      deadlineMs: request.deadlineMs - this.#queue.clock.getNow(),
      repeatable: true,
      tried: request.tried,
    });
    if (picked.err) {
      request.onEnd(picked.val);
      return;
    }
    const decision = picked.val;
    request.attempts += 1;
    request.tried.add(decision.target);
    this.#router.recordSend(decision, { promptTokens: 500, maxTokens: 300 });
    this.#dispatch(request, decision);
  }

  #dispatch(request: ZoneRequest, decision: RouteDecision): void {
    const { clock } = this.#queue;
    let isOpen = true;
    let heardMs = clock.getNow();
    const finish = (outcome: 'complete' | ErrorKind) => {
      isOpen = false;
      this.#router.recordFinish(decision, outcome);
      if (outcome === 'complete') request.onEnd(null);
      else this.#fail(request, { kind: outcome, message: 'attempt failed' });
    };
    const watchSilence = () => {
      if (!isOpen) return;
      const leftMs = heardMs + SILENCE_MS - clock.getNow();
      if (leftMs > 0) {
        this.#queue.add(leftMs, watchSilence);
        return;
      }
      this.silent += 1;
      finish('answer_incomplete');
    };
    const receive = (run: () => void) => {
      this.#queue.add(LINK_MS, () => {
        if (!isOpen) return;
        heardMs = clock.getNow();
        this.#router.recordFrame(decision.target);
        run();
      });
    };
    this.#queue.add(SILENCE_MS, watchSilence);
    this.#queue.add(LINK_MS, () => {
      this.#targets.get(decision.target)!.accept(decision.incarnation, {
        acceptFrame: (load) =>
          receive(() => {
            if (load !== null) this.#router.handleLoad(load);
            request.bytesSent ||= load === null;
          }),
        refuse: (kind, load) =>
          receive(() => {
            this.#router.handleLoad(load);
            finish(kind);
          }),
        end: (load) =>
          receive(() => {
            this.#router.handleLoad(load);
            finish('complete');
          }),
      });
    });
  }

  #fail(request: ZoneRequest, failure: Failure): void {
    const before = this.#budget.getTokens();
    const decision = decideRetry(
      {
        failure,
        repeatable: true,
        mayHaveRun: request.mayHaveRun,
        bytesSent: request.bytesSent,
        resumable: true,
        attempts: request.attempts,
        deadlineMs: request.deadlineMs - this.#queue.clock.getNow(),
      },
      this.#budget,
      this.#random,
    );
    request.mayHaveRun ||= answerTable[failure.kind].run !== 'no';
    if (decision.action === 'fail') {
      request.onEnd(decision.failure);
      return;
    }
    if (this.#budget.getTokens() < before) this.retries += 1;
    this.#queue.add(decision.delayMs, () => this.#attempt(request));
  }
}
