import type { GroupLoad } from './GroupLoad.js';
import type { RequestCost } from './RequestCost.js';
import type { RouterSettings } from './RouterSettings.js';
import type { TargetView } from './TargetView.js';

/**
 * Exponent of the smooth maximum over the ranks. With 6, a rank at half of the mean load adds a 32nd
 * of what a mean rank adds: close to the maximum, yet it still tells low ranks apart.
 */
const NORM = 6;

/** Steps over which a wait is spread at least, for very short answers. */
const LEAST_STEPS = 16;

/** Most KV pressure that counts; beyond it the request waits for memory in any case. */
const MOST_KV_PRESSURE = 4;

/**
 * Returns the request's tokens as a share of the KV memory that is free. It fades with the age of the
 * report, so that a target whose memory was once full is tried again.
 */
function computeKvPressure(view: TargetView, tokens: number, nowMs: number): number {
  const { report } = view;
  if (report === null || report.kvFree >= 1 || report.tokensInFlight <= 0) return 0;
  const capacity = report.tokensInFlight / (1 - report.kvFree);
  const pressure = Math.min(MOST_KV_PRESSURE, tokens / Math.max(1, capacity * report.kvFree));
  return pressure * view.getReportWeight(nowMs);
}

/**
 * Scores a target for a request; lower is better. For a model, the score is the predicted step time
 * in milliseconds: the present one, its rise by the request (the derivative of a smooth maximum
 * over the ranks), KV pressure, and the wait before the first token spread over the answer's
 * tokens. For a plain service it is the predicted time of the answer.
 *
 * The load of a rank per unit of granted concurrency is compared with that of the whole service, so
 * that a ramping target counts as loaded early. Against the slowest rank
 * of its own group, the other ranks of a group with one overloaded rank would seem free and would
 * attract more load than those of the other groups.
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
  const limit = Math.max(0.01, view.estimateLimit(nowMs, load) * view.breaker.getWeight(nowMs));
  const inFlight = view.estimateInFlight(nowMs, load);
  const ownStepMs = view.report?.stepTimeMs ?? 0;
  const stepMs = Math.max(1, load.lockStep || ownStepMs === 0 ? load.stepTimeMs : ownStepMs);
  const queueDelayMs = view.getQueueDelayMs(nowMs);
  if (request.promptTokens + request.maxTokens === 0) {
    return stepMs * (1 + (inFlight + 1) / limit) + queueDelayMs;
  }
  const prefillTokens = Math.max(0, request.promptTokens - savedTokens);
  const answerTokens = request.maxTokens / 2;
  const cost = request.promptTokens + answerTokens + settings.prefillWeight * prefillTokens;
  const tokens = view.estimateTokens(nowMs, load);
  const share = (tokens + cost / 2) / Math.max(1, load.serviceTokensPerSlot * limit);
  const rise = (cost / Math.max(1, load.serviceCost)) * share ** (NORM - 1);
  const pressure = computeKvPressure(view, prefillTokens + answerTokens, nowMs);
  const slotWait = Math.max(0, inFlight + 1 - limit) / limit;
  const prefillMs =
    settings.prefillMsPerToken * (view.getQueuedPromptTokens(nowMs) + prefillTokens);
  const waitMs = (queueDelayMs + prefillMs) / Math.max(LEAST_STEPS, answerTokens);
  return stepMs * (1 + rise + pressure ** 2 + slotWait) + waitMs;
}
