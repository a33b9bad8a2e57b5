import type { EventLoop } from './EventLoop.js';
import type { TargetShape } from './TargetShape.js';

interface Job {
  /** Milliseconds of work left at idle, warm speed. */
  leftMs: number;
  readonly startedMs: number;
  readonly fails: boolean;
  readonly finish: (sample: { serviceTimeMs: number; error: boolean }) => void;
}

const REFRESH_MS = 50;
/** Past this multiple of its knee a target fails what it takes on. */
const FAIL_FACTOR = 2;

/** A target that shares its speed between its jobs and warms up over time. */
export class TargetModel {
  readonly #loop: EventLoop;

  readonly #shape: TargetShape;

  #bornMs: number;

  readonly #jobs = new Set<Job>();

  #updatedMs = 0;

  #version = 0;

  constructor(loop: EventLoop, shape: TargetShape, warm: boolean) {
    this.#loop = loop;
    this.#shape = shape;
    this.#bornMs = warm ? -shape.warmUpMs : loop.getNow();
    loop.scheduleEvery(REFRESH_MS, () => this.#refresh());
  }

  getInFlight(): number {
    return this.#jobs.size;
  }

  /** Returns the concurrency that the target can use now. */
  getKnee(): number {
    const { knee, coldKnee } = this.#shape;
    return coldKnee + (knee - coldKnee) * this.#getWarmth();
  }

  /** Makes the target stone cold. */
  restart(): void {
    this.#refresh();
    this.#bornMs = this.#loop.getNow();
  }

  start(workMs: number, finish: Job['finish']): void {
    this.#refresh();
    const fails = this.#jobs.size + 1 > FAIL_FACTOR * this.getKnee();
    this.#jobs.add({ leftMs: workMs, startedMs: this.#loop.getNow(), fails, finish });
    this.#plan();
  }

  #getWarmth(): number {
    if (this.#shape.warmUpMs <= 0) return 1;
    return Math.min(1, (this.#loop.getNow() - this.#bornMs) / this.#shape.warmUpMs);
  }

  /** Returns the speed of each job, 1 at idle and warm. */
  #getSpeed(): number {
    const { coldSpeed, kind, knee } = this.#shape;
    const warmSpeed = coldSpeed + (1 - coldSpeed) * this.#getWarmth();
    const jobs = Math.max(1, this.#jobs.size);
    const excess = Math.max(1, jobs / this.getKnee());
    return kind === 'pool' ? warmSpeed / excess : warmSpeed / (1 + jobs / knee) / excess ** 2;
  }

  #refresh(): void {
    const nowMs = this.#loop.getNow();
    const done = (nowMs - this.#updatedMs) * this.#getSpeed();
    this.#updatedMs = nowMs;
    const ended: Job[] = [];
    for (const job of this.#jobs) {
      job.leftMs -= done;
      if (job.leftMs <= 1e-6) ended.push(job);
    }
    for (const job of ended) this.#jobs.delete(job);
    this.#plan();
    for (const job of ended) {
      job.finish({ serviceTimeMs: nowMs - job.startedMs, error: job.fails });
    }
  }

  /** Schedules the next end of a job; speeds change, so an older plan is dropped. */
  #plan(): void {
    this.#version += 1;
    const version = this.#version;
    let leastMs = Infinity;
    for (const job of this.#jobs) leastMs = Math.min(leastMs, job.leftMs);
    const delayMs = leastMs / this.#getSpeed();
    if (delayMs > REFRESH_MS) return;
    this.#loop.schedule(delayMs + 1e-3, () => {
      if (version === this.#version) this.#refresh();
    });
  }
}
