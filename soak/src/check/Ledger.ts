import type { RequestRecord } from './RequestRecord.js';
import type { RunRecord } from './RunRecord.js';

/** A span in which something was done to an instance or target. */
interface Span {
  readonly object: string;
  /**
   * `unplanned`: a kill, freeze or fault of links; `starved`: the process waited for a processor;
   * `leaving`: the store names a run of a target, by its id, as draining or not at all; the others
   * are planned work.
   */
  readonly kind: 'unplanned' | 'starved' | 'leaving' | 'stop' | 'reload' | 'config';
  readonly startMs: number;
  /** Infinity while it lasts. */
  endMs: number;
}

/** Everything that callers, targets and the runner saw in a run; the checks read it. */
export class Ledger {
  readonly requests: RequestRecord[] = [];

  readonly runs = new Map<string, RunRecord[]>();

  readonly spans: Span[] = [];

  /** Spans in which the runner itself was held up, so that its times are inexact. */
  readonly stalls: { readonly startMs: number; readonly endMs: number }[] = [];

  /** @param targetRun id of the run of the target */
  addRun(id: string, target: string, targetRun: string, startMs: number): RunRecord {
    const run = { target, targetRun, startMs, endMs: null, isBrokenOff: false };
    const runs = this.runs.get(id);
    if (runs === undefined) this.runs.set(id, [run]);
    else runs.push(run);
    return run;
  }

  /** @param object name of the instance or target; `*` for all instances */
  addSpan(object: string, kind: Span['kind'], startMs: number, endMs = Infinity): Span {
    const span = { object, kind, startMs, endMs };
    this.spans.push(span);
    return span;
  }
}
