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
import { ProcessStore } from './ProcessStore.js';
import { SimProcess } from './SimProcess.js';
import { SkewedClock } from './SkewedClock.js';
import type { AttemptStream } from './AttemptStream.js';
import type { Simulation } from './Simulation.js';
import { scheduleSettings } from './scheduleSettings.js';

/** Width of the range, centred on zero, of the wall clock offsets of agents. */
const CLOCK_SKEW_RANGE_MS = 4000;

type Part = AnswerFrame['part'];

/** A simulated agent with its target: runs the product's `AttemptLog` and `ClaimLedger`. */
export class SimAgent {
  readonly name: string;

  readonly process: SimProcess;

  /** Whether other agents consider this one ended, although it is only paused. */
  isSuspected = false;

  readonly #simulation: Simulation;

  /** Incarnations since the process started, one for each start of the target; the last is current. */
  #incarnations: number[] = [];

  /** Number of starts of the target, which also restarts while the agent keeps running. */
  #targetStarts = 0;

  #ledger!: ClaimLedger;

  #log!: AttemptLog;

  constructor(simulation: Simulation, name: string) {
    this.#simulation = simulation;
    this.name = name;
    this.process = new SimProcess(simulation.queue);
    this.#begin();
  }

  getIncarnation(): Incarnation {
    return this.#incarnations[this.#incarnations.length - 1] as Incarnation;
  }

  /** Whether the incarnation began since the process last started. */
  hasIncarnation(incarnation: number): boolean {
    return this.#incarnations.includes(incarnation);
  }

  countOpenKeys(): number {
    return this.#ledger.getCounts().open;
  }

  restart(): void {
    this.process.start();
    this.isSuspected = false;
    this.#begin();
  }

  /** Restarts only the target: its requests end without an answer and the incarnation increases. */
  restartTarget(): void {
    this.#targetStarts += 1;
    const incarnation = this.#simulation.createIncarnation();
    this.#incarnations.push(incarnation);
    this.#ledger.setIncarnation(incarnation);
    this.#log.setIncarnation(incarnation);
  }

  /** Handles an attempt that the network has delivered. */
  handle(stream: AttemptStream): void {
    const { variant, random, queue } = this.#simulation;
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
    const { store, queue, random, variant, hasEnded } = this.#simulation;
    const incarnation = this.#simulation.createIncarnation();
    this.#incarnations = [incarnation];
    this.#targetStarts += 1;
    this.#log = new AttemptLog(queue.clock, incarnation);
    this.#ledger = new ClaimLedger({
      store: new ProcessStore(store, this.process, variant, hasEnded),
      clock: new SkewedClock(queue.clock, (random.next() - 0.5) * CLOCK_SKEW_RANGE_MS),
      random,
      service: 'bookings' as ServiceName,
      owner: { instance: this.name as InstanceId, incarnation },
      owners: { hasEnded },
      writesPerSecond: 100,
      options: scheduleSettings.claims,
    });
    this.#tick();
  }

  #tick(): void {
    this.#ledger.tick();
    this.process.schedule(scheduleSettings.tickMs, () => this.#tick());
  }

  /** @returns whether to continue with the attempt; a duplicate gets no frame */
  #admit(stream: AttemptStream): boolean {
    const admitted = this.#log.recordAttempt(stream.attempt);
    if (admitted.ok) {
      return admitted.val === 'first' || this.#simulation.variant === 'no-duplicate-check';
    }
    this.#refuse(stream, admitted.val.kind);
    return false;
  }

  #claim(stream: AttemptStream, deadlineAtMs: number, finish: () => void): void {
    const { attempt } = stream;
    if (attempt.idempotencyKey === '') {
      this.#dispatchLater(stream, deadlineAtMs, null, finish);
      return;
    }
    const isClaimedLate = this.#simulation.variant === 'claim-after-dispatch';
    if (isClaimedLate) this.#run(stream, deadlineAtMs, null, finish);
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
      if (isClaimedLate) return;
      if (result.err) {
        finish();
        this.#refuse(stream, result.val.kind);
      } else if (result.val.type === 'replay') {
        finish();
        this.#sendAnswer(stream, result.val.outcome, true);
      } else {
        this.#dispatchLater(stream, deadlineAtMs, result.val.claim, finish);
      }
    });
  }

  /** Dispatches after a delay, so that a pause can fall between the claim and the dispatch. */
  #dispatchLater(
    stream: AttemptStream,
    deadlineAtMs: number,
    claim: Claim | null,
    finish: () => void,
  ): void {
    const { random, variant, queue } = this.#simulation;
    this.process.schedule(random.next() * 40, () => {
      // The target became cold after the claim.
      if (claim !== null && random.next() < 0.1) {
        finish();
        if (this.#ledger.release(claim).ok) this.#refuse(stream, 'target_cold');
        else this.#refuse(stream, 'deadline_exceeded');
        return;
      }
      const isLate = queue.clock.getNow() >= deadlineAtMs;
      let mayRun = claim === null ? !isLate : true;
      if (claim !== null && variant !== 'release-after-dispatch') {
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

  /** Runs the request on the target; from here on it may have taken effect. */
  #run(stream: AttemptStream, deadlineAtMs: number, claim: Claim | null, finish: () => void): void {
    const { random, runs, variant, queue } = this.#simulation;
    const { request } = stream;
    const targetStarts = this.#targetStarts;
    const fails = random.next() < 0.1;
    runs.add(request, queue.clock.getNow() > deadlineAtMs);
    this.process.schedule(20 + random.next() * 600, () => {
      finish();
      if (!fails && targetStarts === this.#targetStarts) {
        const outcome = this.#buildOutcome(stream);
        if (claim !== null) this.#ledger.complete(claim, outcome);
        this.#sendAnswer(stream, outcome, false);
        return;
      }
      if (claim !== null && variant === 'release-after-dispatch') this.#ledger.release(claim);
      else if (claim !== null) this.#ledger.complete(claim, null);
      if (variant === 'refused-after-dispatch') this.#refuse(stream, 'overloaded');
      else this.#fail(stream);
    });
  }

  #buildOutcome({ request }: AttemptStream): ClaimOutcome {
    const identity = request.key === '' ? request.requestId : `${request.key}:${request.body}`;
    // The padding makes some answers too large for the ledger to store. An answer depends only on
    // its request, so that another target can resume it.
    const padding = request.requestId.startsWith('c7-') ? 'x'.repeat(60) : '';
    const body = Buffer.from(`<${identity}|${request.requestId}${padding}>`);
    return { status: 200, headers: [], body };
  }

  #sendAnswer(
    stream: AttemptStream,
    { status, headers, body }: ClaimOutcome,
    replayed: boolean,
  ): void {
    const { random } = this.#simulation;
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

  #refuse(stream: AttemptStream, kind: ErrorKind): void {
    const load = this.#buildLoad();
    this.#send(stream, { type: 'refused', kind, message: '', retryAfterMs: 0, load });
  }

  #fail(stream: AttemptStream): void {
    const load = this.#buildLoad();
    this.#send(stream, { type: 'failed', kind: 'target_error', message: '', load });
  }

  #sendProgress(stream: AttemptStream, progress: { readonly isOpen: boolean }): void {
    this.process.schedule(scheduleSettings.progressIntervalMs, () => {
      if (!progress.isOpen) return;
      this.#send(stream, { type: 'progress' });
      this.#sendProgress(stream, progress);
    });
  }

  #send(stream: AttemptStream, part: Part): void {
    const { requestId, attempt, incarnation } = stream.attempt;
    const frameIncarnation = incarnation === 0 ? this.getIncarnation() : incarnation;
    this.#simulation.network.sendFrame(stream, {
      requestId,
      attempt,
      incarnation: frameIncarnation,
      part,
    });
  }

  #buildLoad(): LoadReport {
    return { incarnation: this.getIncarnation() } as LoadReport;
  }
}
