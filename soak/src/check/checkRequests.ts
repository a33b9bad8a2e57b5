import type { Bounds } from './Bounds.js';
import type { Ledger } from './Ledger.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RunRecord } from './RunRecord.js';
import type { Violation } from './Violation.js';

/** Requests on kept connections that may be lost without any work on the instance. */
const MAX_KEPT_LOSSES = 3;

/** Requests sent later than this after a SIGTERM are excused in the last part of the grace. */
const STOP_ACCEPT_MS = 3000;

/**
 * An entry may break off the answer of a caller that reads nothing for longer than this, so that
 * such answers do not fill its memory.
 */
const MAX_PAUSE_MS = 1000;

const LAST_GRACE_SHARE = 5 / 6;

const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function isTouched(
  ledger: Ledger,
  kinds: ReadonlySet<string>,
  objects: ReadonlySet<string>,
  fromMs: number,
  toMs: number,
): boolean {
  for (const { kind, object, startMs, endMs } of ledger.spans) {
    if (!kinds.has(kind) || !objects.has(object)) continue;
    if (startMs <= toMs && endMs >= fromMs) return true;
  }
  return false;
}

const UNPLANNED: ReadonlySet<string> = new Set(['unplanned']);

const STARVED: ReadonlySet<string> = new Set(['starved']);

const PLANNED: ReadonlySet<string> = new Set(['stop', 'reload', 'config']);

/** Returns whether a target was at work on the request when the end of the grace was near. */
function hasWorkedLate(
  ledger: Ledger,
  request: RequestRecord,
  runs: readonly RunRecord[],
  graceMs: number,
): boolean {
  for (const { kind, object, startMs } of ledger.spans) {
    if (kind !== 'stop' || object !== request.entry || startMs > request.endMs) continue;
    const lateMs = startMs + graceMs * LAST_GRACE_SHARE;
    if (request.endMs < lateMs || request.startMs > startMs + STOP_ACCEPT_MS) continue;
    if (runs.some(({ endMs }) => endMs === null || endMs >= lateMs)) return true;
  }
  return false;
}

/** Returns how a request was lost, or null if it was not. */
function findLoss(
  ledger: Ledger,
  request: RequestRecord,
  bounds: Bounds,
): 'planned' | 'kept' | null {
  if (request.outcome !== 'closed') return null;
  if (request.pauseMs > MAX_PAUSE_MS) return null;
  const runs = ledger.runs.get(request.id) ?? [];
  if (runs.some(({ isBrokenOff }) => isBrokenOff)) return null;
  const { startMs, sentMs, endMs } = request;
  const fromMs = startMs - bounds.stableWindowMs;
  const objects = new Set([request.entry, ...runs.map(({ target }) => target)]);
  if (isTouched(ledger, UNPLANNED, objects, fromMs, endMs)) return null;
  if (runs.length === 0) {
    if (sentMs === null || endMs - sentMs <= bounds.lossSlackMs) return null;
    // The rule does not count machines that are slowed; the runner may have seen the end too late.
    if (isTouched(ledger, STARVED, new Set([request.entry]), sentMs, endMs)) return null;
    const isStalled = ledger.stalls.some(
      (stall) => stall.startMs <= endMs && stall.endMs >= sentMs,
    );
    if (isStalled) return null;
  }
  if (hasWorkedLate(ledger, request, runs, bounds.graceMs)) return null;
  const entry = new Set([request.entry, '*']);
  if (isTouched(ledger, PLANNED, entry, startMs, endMs)) return 'planned';
  return request.isKept ? 'kept' : null;
}

function describe(ledger: Ledger, request: RequestRecord): string {
  const { id, path, entry, startMs, sentMs, endMs, status, cause, isKept } = request;
  const runs = ledger.runs.get(request.id) ?? [];
  const places = runs.map(
    ({ target, startMs: runMs, endMs: doneMs }) =>
      `${target} from ${Math.round(runMs - startMs)} to ` +
      `${doneMs === null ? 'no end' : Math.round(doneMs - startMs)} ms`,
  );
  return (
    `${id} ${path} at ${entry}${isKept ? ' on a kept connection' : ''}: ` +
    `${request.outcome} ${status ?? ''} ${cause} after ${Math.round(endMs - startMs)} ms, ` +
    `sent after ${sentMs === null ? 'no time' : Math.round(sentMs - startMs)} ms, ` +
    `run by ${places.join(', ') || 'none'}`
  );
}

/**
 * Checks what callers and targets saw against the rules LOST, TWICE, REFUSED and MIXED.
 *
 * @returns the violations, with times on the steady clock
 */
export function checkRequests(ledger: Ledger, bounds: Bounds): Violation[] {
  const violations: Violation[] = [];
  const keptLosses: Violation[] = [];
  for (const request of ledger.requests) {
    const runs = ledger.runs.get(request.id) ?? [];
    const seen = describe(ledger, request);
    const add = (rule: Violation['rule'], what: string): void => {
      violations.push({ rule, atMs: request.endMs, seen: `${what}: ${seen}` });
    };
    if (request.isUnsafe && runs.length > 1) add('TWICE', `ran ${runs.length} times`);
    if (request.isUnsafe && runs.length > 0 && REFUSALS.has(request.status ?? 0)) {
      add('REFUSED', 'refused and ran');
    }
    if (request.defect !== '') add('MIXED', request.defect);
    const loss = findLoss(ledger, request, bounds);
    if (loss === 'planned') add('LOST', 'no answer beside planned work');
    if (loss === 'kept') {
      keptLosses.push({ rule: 'LOST', atMs: request.endMs, seen: `no answer: ${seen}` });
    }
  }
  if (keptLosses.length > MAX_KEPT_LOSSES) violations.push(...keptLosses);
  return violations;
}
