import { computeMedian } from '../ramp/computeMedian.js';
import type { DirectRoute } from './DirectRoute.js';

/**
 * What the response time of an answer says of its target.
 *
 * - `in_time`: it answers as well as its peers, or well within what callers need. Where all answers
 *   are late, the load is the cause.
 * - `slow`: it answers later than callers need and than its peers do.
 * - `uncertain`: it answers later than its peers, but callers do not notice.
 */
type ResponseVerdict = 'in_time' | 'slow' | 'uncertain';

/** Routes whose times are kept; those that answered last. */
const MAX_ROUTES = 64;

/** Answers of which the median is the usual time. */
const KEPT_TIMES = 15;

/** Least number of answers for a median that a few slow ones do not shift. */
const MIN_TIMES = 5;

/** An answer may take this multiple of the usual time, because requests differ in size. */
const MAX_USUAL_FACTOR = 2;

/** Fraction of the objective within which an answer is in time whatever the usual time is. */
const SAFE_OBJECTIVE_FRACTION = 0.5;

/** Usual response times of the targets of a service, by route. */
export class ResponseTimes {
  readonly #times = new Map<string, number[]>();

  /** Records a response time of a target that counts as usual. */
  record(service: string, { name }: Pick<DirectRoute, 'name'>, durationMs: number): void {
    const key = buildKey(service, name);
    const times = this.#times.get(key) ?? [];
    // Inserted again, so that the map is in the order of use.
    this.#times.delete(key);
    this.#times.set(key, times);
    if (this.#times.size > MAX_ROUTES) {
      const [oldest] = this.#times.keys();
      if (oldest !== undefined) this.#times.delete(oldest);
    }
    times.push(durationMs);
    if (times.length > KEPT_TIMES) times.shift();
  }

  evaluate(
    service: string,
    { name, objectiveMs }: Pick<DirectRoute, 'name' | 'objectiveMs'>,
    durationMs: number,
  ): ResponseVerdict {
    if (durationMs <= SAFE_OBJECTIVE_FRACTION * objectiveMs) return 'in_time';
    const isLate = durationMs > objectiveMs;
    const usualMs = this.#getUsualMs(buildKey(service, name));
    if (usualMs === null) return isLate ? 'slow' : 'in_time';
    if (durationMs <= MAX_USUAL_FACTOR * usualMs) return 'in_time';
    return isLate ? 'slow' : 'uncertain';
  }

  clear(): void {
    this.#times.clear();
  }

  #getUsualMs(key: string): number | null {
    const times = this.#times.get(key) ?? [];
    return times.length < MIN_TIMES ? null : computeMedian(times);
  }
}

function buildKey(service: string, route: string): string {
  return `${service} ${route}`;
}
