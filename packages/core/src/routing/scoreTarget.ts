import type { GroupLoad } from './GroupLoad.js';
import type { RequestCost } from './RequestCost.js';
import type { RouterSettings } from './RouterSettings.js';
import type { TargetView } from './TargetView.js';

/**
 * Exponent of the smooth maximum over the ranks. With 4, a rank at half of the highest load adds an
 * eighth of what the highest adds: close to the maximum, yet it still tells low ranks apart.
 */
const NORM = 4;

/** Steps over which a wait is spread at least, for very short answers. */
const LEAST_STEPS = 16;

/** Most KV pressure that counts; beyond it the request waits for memory in any case. */
const MOST_KV_PRESSURE = 4;

function computeKvPressure(view: TargetView, tokens: number): number {
  const { report } = view;
  if (report === null || report.kvFree >= 1 || report.tokensInFlight <= 0) return 0;
  const capacity = report.tokensInFlight / (1 - report.kvFree);
  return Math.min(MOST_KV_PRESSURE, tokens / Math.max(1, capacity * report.kvFree));
}

/**
 * Scores a target for a request; lower is better. For a model, the score is the predicted step time
 * in milliseconds: the present one, its rise by the request (the derivative of a smooth maximum
 * over the ranks), KV pressure, and the wait before the first token spread over the answer's
 * tokens. For a plain service it is the predicted time of the answer.
 *
 * @param savedTokens prompt tokens that the target's prefix cache is believed to hold
 * @param nowMs monotonic milliseconds
 */
export function scoreTarget(
  view: TargetView,
  load: GroupLoad,
  request: RequestCost,
  savedTokens: number,
  settings: RouterSettings,
  nowMs: number,
): number {
  const limit = Math.max(0.01, view.getLimit() * view.breaker.getWeight(nowMs));
  const inFlight = view.estimateInFlight(nowMs, load.meanUse);
  const ownStepMs = view.report?.stepTimeMs ?? 0;
  const stepMs = load.lockStep || ownStepMs === 0 ? load.stepTimeMs : ownStepMs;
  const queueDelayMs = view.getQueueDelayMs(nowMs);
  if (request.promptTokens + request.maxTokens === 0) {
    return Math.max(1, stepMs) * (1 + (inFlight + 1) / limit) + queueDelayMs;
  }
  const prefillTokens = Math.max(0, request.promptTokens - savedTokens);
  const answerTokens = request.maxTokens / 2;
  const cost = request.promptTokens + answerTokens + settings.prefillWeight * prefillTokens;
  const tokens = view.estimateTokens(nowMs, load.meanTokens);
  const most = Math.max(load.lockStep ? load.maxTokens : load.meanTokens, 1);
  const rise = (cost / Math.max(1, load.meanCost)) * ((tokens + cost / 2) / most) ** (NORM - 1);
  const pressure = computeKvPressure(view, prefillTokens + answerTokens);
  const steps = Math.max(LEAST_STEPS, answerTokens);
  const queuedTokens = view.report?.queuedPromptTokens ?? 0;
  const slotWaitSteps = (steps * Math.max(0, inFlight + 1 - limit)) / limit;
  const prefillMs = settings.prefillMsPerToken * (queuedTokens + prefillTokens);
  const base = Math.max(1, stepMs);
  return (
    base * (1 + rise + pressure ** 2 + slotWaitSteps / steps) + (queueDelayMs + prefillMs) / steps
  );
}
