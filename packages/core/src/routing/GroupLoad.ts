import type { TargetView } from './TargetView.js';

/** Least sum of report weights from which a mean is computed; below it the old values stay. */
const LEAST_WEIGHT = 1e-6;

/** Load of the peers of a target: the ranks of its group, or the service's other targets. */
export class GroupLoad {
  /** Whether the peers advance in lock-step, so that the slowest decides for all. */
  readonly lockStep: boolean;

  /** Tokens of work of the peers per unit of granted concurrency. */
  tokensPerSlot = 0;

  /** The same over all groups of the service. */
  serviceTokensPerSlot = 0;

  /** Mean granted concurrency per target over all groups of the service; 0 where not known. */
  serviceLimit = 0;

  /** Sums over the peers, each weighted by the age of its report. */
  sums = { weight: 0, limit: 0, tokens: 0, inFlight: 0 };

  /** Mean tokens of work per request in flight over all groups of the service. */
  serviceCost = 0;

  /** Mean requests in flight per unit of granted concurrency. */
  meanUse = 0;

  /** Step time of a model group or service time of a plain target, milliseconds. */
  stepTimeMs = 0;

  constructor(lockStep: boolean) {
    this.lockStep = lockStep;
  }

  /** Computes the load from the reports of the peers, each weighted by its age. */
  update(views: readonly TargetView[], nowMs: number): void {
    let weights = 0;
    let tokens = 0;
    let inFlight = 0;
    let limits = 0;
    let stepMs = 0;
    for (const view of views) {
      if (view.report === null) continue;
      const weight = view.getReportWeight(nowMs);
      weights += weight;
      tokens += weight * view.getReportedTokens(nowMs);
      inFlight += weight * (view.report.inFlight + view.report.queued);
      limits += weight * view.report.limit;
      stepMs += weight * view.report.stepTimeMs;
    }
    if (weights > LEAST_WEIGHT) {
      this.tokensPerSlot = limits > 0 ? tokens / limits : 0;
      this.sums = { weight: weights, limit: limits, tokens, inFlight };
      this.meanUse = limits > 0 ? inFlight / limits : 0;
      this.stepTimeMs = stepMs / weights;
    }
  }
}
