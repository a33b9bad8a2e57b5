import type { Bounds } from './Bounds.js';
import { STORE } from './storeName.js';
import type { Ledger } from './Ledger.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RunRecord } from './RunRecord.js';
import type { Violation } from './Violation.js';

/** Kinds of spans in which an entry is not bound by the rule, nor for the stable window after them. */
const EXCUSES: ReadonlySet<string> = new Set(['unplanned', 'starved', 'stop']);

/** Returns whether the entry and the store were undisturbed for a stable window before a moment. */
function isInTouch(ledger: Ledger, entry: string, atMs: number, { stableWindowMs }: Bounds) {
  const objects: ReadonlySet<string> = new Set([entry, STORE]);
  for (const { kind, object, startMs, endMs } of ledger.spans) {
    if (!EXCUSES.has(kind) || !objects.has(object)) continue;
    if (startMs <= atMs && endMs >= atMs - stableWindowMs) return false;
  }
  // The runner notes arrivals too late while it is held up.
  return !ledger.stalls.some(
    ({ startMs, endMs }) => startMs <= atMs && endMs >= atMs - stableWindowMs,
  );
}

/** Returns how long after the bound of its target a run began, milliseconds; 0 if it did not. */
function measureDelay(ledger: Ledger, { targetRun, startMs }: RunRecord, bounds: Bounds): number {
  for (const span of ledger.spans) {
    if (span.kind !== 'leaving' || span.object !== targetRun) continue;
    return Math.max(0, startMs - span.startMs - bounds.drainMs);
  }
  return 0;
}

function describe({ id, entry }: RequestRecord, { target }: RunRecord, delayMs: number): string {
  const delay = Math.round(delayMs);
  return `${id} of ${entry} reached ${target} ${delay} ms after the end of its time to drain`;
}

/**
 * Checks the rule DRAIN: no request reaches a target later than `drainMs` after the store has stored
 * its leaving.
 *
 * @returns the violations, with times on the steady clock
 */
export function checkDrains(ledger: Ledger, bounds: Bounds): Violation[] {
  const violations: Violation[] = [];
  for (const request of ledger.requests) {
    for (const run of ledger.runs.get(request.id) ?? []) {
      const delayMs = measureDelay(ledger, run, bounds);
      if (delayMs === 0 || !isInTouch(ledger, request.entry, run.startMs, bounds)) continue;
      const seen = describe(request, run, delayMs);
      violations.push({ rule: 'DRAIN', atMs: run.startMs, seen });
    }
  }
  return violations;
}
