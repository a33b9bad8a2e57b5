import type { TargetView } from './TargetView.js';

/** Minimum sum of report weights for computing means; below it the previous values are kept. */
const MIN_WEIGHT_SUM = 1e-6;

/** Load of the peers of a target: the ranks of its group, or the service's other targets. */
export class GroupLoad {
  /** Whether the peers run in lock-step, so that the slowest determines the step time of all. */
  readonly lockStep: boolean;

  /** Tokens of work of the peers per granted concurrent request. */
  tokensPerSlot = 0;

  /** The same over all groups of the service. */
  serviceTokensPerSlot = 0;

  /** Mean granted concurrency per target over all groups of the service; 0 if unknown. */
  serviceLimit = 0;

  /** Sums over the peers, each weighted by the age of its report. */
  sums = { weight: 0, limit: 0, tokens: 0, inFlight: 0 };

  /** Mean tokens of work per request in flight over all groups of the service. */
  meanRequestTokens = 0;

  /** Mean requests in flight per granted concurrent request. */
  meanUtilization = 0;

  /** Step time of a model group or service time of a plain target, milliseconds. */
  stepTimeMs = 0;

  constructor(lockStep: boolean) {
    this.lockStep = lockStep;
  }

  /** Computes the load from the reports of the peers, each weighted by its age. */
  update(views: readonly TargetView[], nowMs: number): void {
    let weightSum = 0;
    let tokens = 0;
    let inFlight = 0;
    let limitSum = 0;
    let stepMs = 0;
    for (const view of views) {
      if (view.report === null) continue;
      const weight = view.getReportWeight(nowMs);
      weightSum += weight;
      tokens += weight * view.getReportedTokens(nowMs);
      inFlight += weight * (view.report.inFlight + view.report.queued);
      limitSum += weight * view.report.limit;
      stepMs += weight * view.report.stepTimeMs;
    }
    if (weightSum > MIN_WEIGHT_SUM) {
      this.tokensPerSlot = limitSum > 0 ? tokens / limitSum : 0;
      this.sums = { weight: weightSum, limit: limitSum, tokens, inFlight };
      this.meanUtilization = limitSum > 0 ? inFlight / limitSum : 0;
      this.stepTimeMs = stepMs / weightSum;
    }
  }
}
