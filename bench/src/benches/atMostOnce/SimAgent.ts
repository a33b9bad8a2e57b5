import {
  AttemptLog,
  ClaimLedger,
  hashRequest,
  type AnswerFrame,
  type Claim,
  type ClaimOutcome,
  type ErrorKind,
  type Incarnation,
  type InstanceId,
  type LoadReport,
  type ServiceName,
} from '@limpetbay/core';
import { PortStore } from './PortStore.js';
import { SimProcess } from './SimProcess.js';
import { SkewedClock } from './SkewedClock.js';
import type { Stream } from './Stream.js';
import type { World } from './World.js';
import { scale } from './scale.js';

const MOST_SKEW_MS = 4000;

type Part = AnswerFrame['part'];

/** An agent with its target: the product's `AttemptLog` and `ClaimLedger` with a model around them. */
export class SimAgent {
  readonly name: string;

  readonly process: SimProcess;

  /** Whether others take this agent as gone; may be wrong while it is paused. */
  isSuspected = false;

  readonly #world: World;

  /** Incarnations of this life of the process; the last one is the present. */
  #incarnations: number[] = [];

  /** Changes when the target is restarted beside a living agent. */
  #targetLife = 0;

  #ledger!: ClaimLedger;

  #log!: AttemptLog;

  constructor(world: World, name: string) {
    this.#world = world;
    this.name = name;
    this.process = new SimProcess(world.queue);
    this.#begin();
  }

  getIncarnation(): Incarnation {
    return this.#incarnations[this.#incarnations.length - 1] as Incarnation;
  }

  /** Whether an incarnation belongs to the present life of the process. */
  hasIncarnation(incarnation: number): boolean {
    return this.#incarnations.includes(incarnation);
  }

  getOpenKeys(): number {
    return this.#ledger.getCounts().open;
  }

  restart(): void {
    this.process.start();
    this.isSuspected = false;
    this.#begin();
  }

  /** The target restarts beside the agent: its work is lost and the incarnation grows. */
  restartTarget(): void {
    this.#targetLife += 1;
    const incarnation = this.#world.createIncarnation();
    this.#incarnations.push(incarnation);
    this.#ledger.setIncarnation(incarnation);
    this.#log.setIncarnation(incarnation);
  }

  accept(stream: Stream): void {
    const { variant, random, queue } = this.#world;
    const isCheckedLate = variant === 'duplicate-check-after-refusals';
    if (!isCheckedLate && !this.#admit(stream)) return;
    const draw = random.next();
    if (draw < 0.15) {
      this.#refuse(stream, draw < 0.05 ? 'leaving' : 'overloaded');
      return;
    }
    if (isCheckedLate && !this.#admit(stream)) return;
    const deadlineAtMs = queue.clock.getNow() + stream.attempt.deadlineMs;
    const progress = { isOpen: true };
    this.#send(stream, { type: 'accepted', load: this.#buildLoad() });
    this.#sendProgress(stream, progress);
    const finish = () => {
      progress.isOpen = false;
    };
    this.process.schedule(random.next() * 60, () => this.#claim(stream, deadlineAtMs, finish));
  }

  #begin(): void {
    const { store, queue, random, variant, hasEnded } = this.#world;
    const incarnation = this.#world.createIncarnation();
    this.#incarnations = [incarnation];
    this.#targetLife += 1;
    this.#log = new AttemptLog(queue.clock, incarnation);
    this.#ledger = new ClaimLedger({
      store: new PortStore(store, this.process, variant, hasEnded),
      clock: new SkewedClock(queue.clock, (random.next() - 0.5) * MOST_SKEW_MS),
      random,
      service: 'bookings' as ServiceName,
      owner: { instance: this.name as InstanceId, incarnation },
      owners: { hasEnded },
      writesPerSecond: 100,
      options: scale.claims,
    });
    this.#tick();
  }

  #tick(): void {
    this.#ledger.tick();
    this.process.schedule(scale.tickMs, () => this.#tick());
  }

  /** @returns whether to go on with a delivery; a duplicate gets no frame */
  #admit(stream: Stream): boolean {
    const admitted = this.#log.recordAttempt(stream.attempt);
    if (admitted.ok) {
      return admitted.val === 'first' || this.#world.variant === 'no-duplicate-check';
    }
    this.#refuse(stream, admitted.val.kind);
    return false;
  }

  #claim(stream: Stream, deadlineAtMs: number, finish: () => void): void {
    const { attempt } = stream;
    if (attempt.idempotencyKey === '') {
      this.#handOverLater(stream, deadlineAtMs, null, finish);
      return;
    }
    const isTooLate = this.#world.variant === 'claim-after-hand-over';
    if (isTooLate) this.#run(stream, deadlineAtMs, null, finish);
    const bodyHash = hashRequest(attempt.method, attempt.path, attempt.body);
    const request = {
      workspace: attempt.workspace,
      key: attempt.idempotencyKey,
      keyTimeMs: attempt.keyTimeMs,
      bodyHash,
      attemptId: `${attempt.requestId}#${attempt.attempt}`,
      deadlineAtMs,
    };
    void this.#ledger.begin(request).then((result) => {
      if (isTooLate) return;
      if (result.err) {
        finish();
        this.#refuse(stream, result.val.kind);
      } else if (result.val.type === 'replay') {
        finish();
        this.#sendAnswer(stream, result.val.outcome, true);
      } else {
        this.#handOverLater(stream, deadlineAtMs, result.val.claim, finish);
      }
    });
  }

  /** Leaves time for a pause between the claim and the hand-over. */
  #handOverLater(
    stream: Stream,
    deadlineAtMs: number,
    claim: Claim | null,
    finish: () => void,
  ): void {
    const { random, variant, queue } = this.#world;
    this.process.schedule(random.next() * 40, () => {
      // The target turned cold after the claim.
      if (claim !== null && random.next() < 0.1) {
        finish();
        if (this.#ledger.release(claim).ok) this.#refuse(stream, 'target_cold');
        else this.#refuse(stream, 'deadline_exceeded');
        return;
      }
      const isLate = queue.clock.getNow() >= deadlineAtMs;
      let mayRun = claim === null ? !isLate : true;
      if (claim !== null && variant !== 'release-after-hand-over') {
        mayRun = this.#ledger.startRun(claim).ok;
      }
      if (mayRun || variant === 'no-deadline-check') {
        this.#run(stream, deadlineAtMs, claim, finish);
        return;
      }
      finish();
      this.#refuse(stream, 'deadline_exceeded');
    });
  }

  /** The target runs the request; from here on it may have taken effect. */
  #run(stream: Stream, deadlineAtMs: number, claim: Claim | null, finish: () => void): void {
    const { random, runs, variant, queue } = this.#world;
    const { request } = stream;
    const life = this.#targetLife;
    const fails = random.next() < 0.1;
    runs.add(request, queue.clock.getNow() > deadlineAtMs);
    this.process.schedule(20 + random.next() * 600, () => {
      finish();
      if (!fails && life === this.#targetLife) {
        const outcome = this.#buildOutcome(stream);
        if (claim !== null) this.#ledger.complete(claim, outcome);
        this.#sendAnswer(stream, outcome, false);
        return;
      }
      if (claim !== null && variant === 'release-after-hand-over') this.#ledger.release(claim);
      else if (claim !== null) this.#ledger.complete(claim, null);
      if (variant === 'refused-after-hand-over') this.#refuse(stream, 'overloaded');
      else this.#fail(stream);
    });
  }

  #buildOutcome({ request }: Stream): ClaimOutcome {
    const identity = request.key === '' ? request.requestId : `${request.key}:${request.body}`;
    // Some answers are too large to be kept. An answer depends on its request alone, so that it can
    // be resumed at another target.
    const padding = request.requestId.startsWith('c7-') ? 'x'.repeat(60) : '';
    const body = Buffer.from(`<${identity}|${request.requestId}${padding}>`);
    return { status: 200, headers: [], body };
  }

  #sendAnswer(stream: Stream, { status, headers, body }: ClaimOutcome, replayed: boolean): void {
    const { random } = this.#world;
    const { resumeFrom } = stream.attempt;
    const size = Math.ceil(body.byteLength / 3);
    const parts: Part[] = [{ type: 'head', status, headers, replayed }];
    let bytes = 0;
    // Each third of the answer counts as one token.
    for (let index = resumeFrom; index < 3; index += 1) {
      const data = body.slice(index * size, (index + 1) * size);
      bytes += data.byteLength;
      parts.push({ type: 'chunk', sequence: index - resumeFrom, data, tokens: 1 });
    }
    parts.push({ type: 'end', chunks: 3 - resumeFrom, bytes, load: this.#buildLoad() });
    let delayMs = 0;
    for (const part of parts) {
      this.process.schedule(delayMs, () => this.#send(stream, part));
      delayMs += 10 + random.next() * 40;
    }
  }

  #refuse(stream: Stream, kind: ErrorKind): void {
    const load = this.#buildLoad();
    this.#send(stream, { type: 'refused', kind, message: '', retryAfterMs: 0, load });
  }

  #fail(stream: Stream): void {
    const load = this.#buildLoad();
    this.#send(stream, { type: 'failed', kind: 'target_error', message: '', load });
  }

  #sendProgress(stream: Stream, progress: { readonly isOpen: boolean }): void {
    this.process.schedule(scale.progressMs, () => {
      if (!progress.isOpen) return;
      this.#send(stream, { type: 'progress' });
      this.#sendProgress(stream, progress);
    });
  }

  #send(stream: Stream, part: Part): void {
    const { requestId, attempt, incarnation } = stream.attempt;
    const named = incarnation === 0 ? this.getIncarnation() : incarnation;
    this.#world.link.sendFrame(stream, { requestId, attempt, incarnation: named, part });
  }

  #buildLoad(): LoadReport {
    return { incarnation: this.getIncarnation() } as LoadReport;
  }
}
