import type { GroupLoad } from './GroupLoad.js';
import type { RequestCost } from './RequestCost.js';
import type { RouterSettings } from './RouterSettings.js';
import type { TargetView } from './TargetView.js';

/**
 * Exponent of the smooth maximum over the ranks. With 6, a rank at half the mean load contributes
 * 1/32 of a rank at the mean: close to the maximum, but ranks with low load still differ.
 */
const LOAD_NORM_EXPONENT = 6;

/** Minimum number of steps over which a wait is spread, for very short answers. */
const MIN_WAIT_SPREAD_STEPS = 16;

/** Maximum KV pressure; above it the request has to wait for memory in any case. */
const MAX_KV_PRESSURE = 4;

/**
 * Returns the request's tokens as a share of the free KV memory. The value decays with the age of
 * the report, so that a target whose memory was full is tried again.
 */
function computeKvPressure(view: TargetView, tokens: number, nowMs: number): number {
  const { report } = view;
  if (report === null || report.kvFree >= 1 || report.tokensInFlight <= 0) return 0;
  const capacity = report.tokensInFlight / (1 - report.kvFree);
  const pressure = Math.min(MAX_KV_PRESSURE, tokens / Math.max(1, capacity * report.kvFree));
  return pressure * view.getReportWeight(nowMs);
}

/**
 * Scores a target for a request; lower is better. For a model, the score is the predicted step time
 * in milliseconds: the current one, its increase by the request (the derivative of a smooth maximum
 * over the ranks), KV pressure, and the wait before the first token spread over the answer's
 * tokens. For a plain service it is the predicted time of the answer.
 *
 * The load of a rank per granted concurrent request is compared with that of the whole service, so
 * that a ramping target counts as loaded early. If it were compared with the slowest rank of its
 * own group, the other ranks of a group with one overloaded rank would seem idle and attract more
 * load than those of the other groups.
 *
 * @param savedTokens prompt tokens that are probably in the target's prefix cache
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
  const relativeLoad = (tokens + cost / 2) / Math.max(1, load.serviceTokensPerSlot * limit);
  const stepIncrease =
    (cost / Math.max(1, load.meanRequestTokens)) * relativeLoad ** (LOAD_NORM_EXPONENT - 1);
  const pressure = computeKvPressure(view, prefillTokens + answerTokens, nowMs);
  const slotWait = Math.max(0, inFlight + 1 - limit) / limit;
  const prefillMs =
    settings.prefillMsPerToken * (view.getQueuedPromptTokens(nowMs) + prefillTokens);
  const waitMs = (queueDelayMs + prefillMs) / Math.max(MIN_WAIT_SPREAD_STEPS, answerTokens);
  return stepMs * (1 + stepIncrease + pressure ** 2 + slotWait) + waitMs;
}
