import type { Clock } from '../clock/Clock.js';

interface WorkspaceUse {
  /** Work started, decayed, milliseconds of a rank. */
  usageMs: number;
  waitingMs: number;
  waitingCount: number;
}

/** Usage below this fraction of a request of mean size no longer counts as active. */
const ACTIVE_FRACTION = 0.05;

/** Below this fraction it is forgotten. */
const FORGOTTEN_FRACTION = 0.0025;

/** Workspaces that are remembered; beyond them those with the least usage are forgotten. */
const MAX_WORKSPACES = 1024;

/**
 * Usage of the workspaces that compete for the slots of one service at one priority, as one entry
 * sees it. The share of each is the same: the total usage, divided by the active workspaces.
 */
export class WorkspaceShares {
  readonly #clock: Clock;

  readonly #workspaces = new Map<string, WorkspaceUse>();

  #timeConstantMs: number;

  #decayedMs: number;

  /** Requests started, decayed. */
  #startedCount = 0;

  #waitingCount = 0;

  /** Null until it is computed again after a change. */
  #shareMs: number | null = null;

  /** @param timeConstantMs time constant of the exponential decay of usage, milliseconds */
  constructor(clock: Clock, timeConstantMs: number) {
    this.#clock = clock;
    this.#timeConstantMs = timeConstantMs;
    this.#decayedMs = clock.getNow();
  }

  setTimeConstant(timeConstantMs: number): void {
    this.#decay();
    this.#timeConstantMs = timeConstantMs;
  }

  /** Records a request that begins to run. @param workMs its estimated work */
  recordStart(workspace: string, workMs: number): void {
    const use = this.#open(workspace);
    use.usageMs += workMs;
    this.#startedCount += 1;
    this.#forgetLeast();
  }

  /** Takes back a recorded request that has not run. */
  cancelStart(workspace: string, workMs: number): void {
    this.adjustUsage(workspace, -workMs);
    this.#startedCount = Math.max(0, this.#startedCount - 1);
  }

  /** Corrects recorded work. @param workMs actual work, minus what was recorded at the start */
  adjustUsage(workspace: string, workMs: number): void {
    const use = this.#open(workspace);
    use.usageMs = Math.max(0, use.usageMs + workMs);
  }

  addWaiting(workspace: string, workMs: number): void {
    const use = this.#open(workspace);
    use.waitingMs += workMs;
    use.waitingCount += 1;
    this.#waitingCount += 1;
  }

  removeWaiting(workspace: string, workMs: number): void {
    const use = this.#open(workspace);
    use.waitingMs = Math.max(0, use.waitingMs - workMs);
    use.waitingCount -= 1;
    this.#waitingCount -= 1;
  }

  countWaiting(): number {
    return this.#waitingCount;
  }

  /**
   * Returns by which multiple of its share a workspace exceeds it; 0 for one within its share.
   *
   * @param workAheadMs work of the workspace that waits and goes first
   */
  getExcess(workspace: string, workAheadMs = 0): number {
    const shareMs = this.getShareMs();
    if (shareMs <= 0) return 0;
    const usageMs = (this.#workspaces.get(workspace)?.usageMs ?? 0) + workAheadMs;
    // Rounding of equal usages must not make one of them exceed the share.
    return Math.max(0, usageMs / shareMs - 1 - 1e-9);
  }

  /** Returns the share of each workspace, milliseconds of a rank; 0 if nothing was used lately. */
  getShareMs(): number {
    this.#decay();
    this.#shareMs ??= this.#computeShareMs();
    return this.#shareMs;
  }

  /** Returns the position of a workspace by usage, 1 for the largest. */
  rankByUsage(workspace: string): number {
    this.#decay();
    const usageMs = this.#workspaces.get(workspace)?.usageMs ?? 0;
    let rank = 1;
    for (const other of this.#workspaces.values()) if (other.usageMs > usageMs) rank += 1;
    return rank;
  }

  /** Lists the workspaces, the one with most usage first. */
  listByUsage(): string[] {
    this.#decay();
    return [...this.#workspaces]
      .sort(([, a], [, b]) => b.usageMs - a.usageMs)
      .map(([workspace]) => workspace);
  }

  #open(workspace: string): WorkspaceUse {
    this.#decay();
    this.#shareMs = null;
    let use = this.#workspaces.get(workspace);
    if (use === undefined) {
      use = { usageMs: 0, waitingMs: 0, waitingCount: 0 };
      this.#workspaces.set(workspace, use);
    }
    return use;
  }

  #decay(): void {
    const nowMs = this.#clock.getNow();
    if (nowMs === this.#decayedMs) return;
    const factor = Math.exp((this.#decayedMs - nowMs) / this.#timeConstantMs);
    this.#decayedMs = nowMs;
    this.#shareMs = null;
    const leastMs = FORGOTTEN_FRACTION * this.#computeMeanWorkMs();
    for (const [workspace, use] of this.#workspaces) {
      use.usageMs *= factor;
      if (use.usageMs <= leastMs && use.waitingCount === 0) {
        this.#workspaces.delete(workspace);
      }
    }
    this.#startedCount = this.#workspaces.size === 0 ? 0 : this.#startedCount * factor;
  }

  /** Every workspace may use as much as one request of mean size. */
  #computeShareMs(): number {
    const meanWorkMs = this.#computeMeanWorkMs();
    let totalMs = 0;
    let active = 0;
    for (const { usageMs, waitingCount } of this.#workspaces.values()) {
      totalMs += usageMs;
      if (waitingCount > 0 || usageMs > ACTIVE_FRACTION * meanWorkMs) active += 1;
    }
    return Math.max(meanWorkMs, totalMs / Math.max(1, active));
  }

  #computeMeanWorkMs(): number {
    let workMs = 0;
    for (const { usageMs, waitingMs } of this.#workspaces.values()) workMs += usageMs + waitingMs;
    const count = this.#startedCount + this.#waitingCount;
    return count > 0 ? workMs / count : 0;
  }

  /** Keeps the number of workspaces bounded; those with waiting requests are kept. */
  #forgetLeast(): void {
    if (this.#workspaces.size <= MAX_WORKSPACES) return;
    let least: string | null = null;
    let leastMs = Infinity;
    for (const [workspace, { usageMs, waitingCount }] of this.#workspaces) {
      if (waitingCount > 0 || usageMs >= leastMs) continue;
      least = workspace;
      leastMs = usageMs;
    }
    if (least !== null) this.#workspaces.delete(least);
  }
}
