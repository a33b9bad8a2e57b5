import type { Clock } from '../clock/Clock.js';
import type { GroupReport } from './GroupReport.js';
import { reportMaxAgeMs } from './reportMaxAgeMs.js';

interface GroupState {
  readonly report: GroupReport;
  readonly atMs: number;
  /** Since when the group is closed; null while it is open. */
  readonly closedMs: number | null;
  /** Since when it is open, as far as this entry has seen. */
  readonly openMs: number;
}

/** A group that is closed for longer lacks a rank; one without a map lacks a planner, milliseconds. */
const FORMING_MS = 3000;

/** Agents answer new subscribers at once; a rank not heard of by then has none, milliseconds. */
const FIRST_REPORT_MS = 600;

/** What one entry knows of the groups of model ranks, by the address of a rank. */
export class GroupStates {
  readonly #clock: Clock;

  readonly #states = new Map<string, GroupState>();

  /** When each rank without any report was first asked for. */
  readonly #unheardMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  accept(report: GroupReport): void {
    const atMs = this.#clock.getNow();
    for (const { address } of report.ranks) {
      const known = this.#states.get(address);
      const closedMs = report.isOpen ? null : (known?.closedMs ?? atMs);
      const isSame = known?.report.epoch === report.epoch && known.closedMs === null;
      this.#states.set(address, { report, atMs, closedMs, openMs: isSame ? known.openMs : atMs });
      this.#unheardMs.delete(address);
    }
  }

  /** Returns the last report of the rank's group; null where it is too old. */
  getReport(address: string): GroupReport | null {
    return this.#get(address)?.report ?? null;
  }

  /**
   * Tells whether the rank's group is complete, as far as is known.
   *
   * @param hasGroups whether the ranks of the service form groups, so that a report is to come
   */
  isOpen(address: string, hasGroups: boolean): boolean {
    const state = this.#get(address);
    if (state !== null) return state.closedMs === null;
    return !hasGroups || !this.#isReportDue(address);
  }

  /** Tells whether a group that is not open may soon be. */
  isForming(address: string): boolean {
    const state = this.#get(address);
    if (state === null) return true;
    if (state.closedMs === null) return false;
    return this.#clock.getNow() - state.closedMs < FORMING_MS;
  }

  /** Tells whether the group has formed shortly before and has its first map. */
  isUnmapped(address: string): boolean {
    const state = this.#get(address);
    if (state === null || state.closedMs !== null || state.report.isMapped) return false;
    return this.#clock.getNow() - state.openMs < FORMING_MS;
  }

  /** Tells whether the first report of a rank is still due; its group may be closed. */
  #isReportDue(address: string): boolean {
    if (this.#states.has(address)) return false;
    const nowMs = this.#clock.getNow();
    const fromMs = this.#unheardMs.get(address) ?? nowMs;
    this.#unheardMs.set(address, fromMs);
    return nowMs - fromMs < FIRST_REPORT_MS;
  }

  #get(address: string): GroupState | null {
    const known = this.#states.get(address);
    if (known === undefined) return null;
    return this.#clock.getNow() - known.atMs > reportMaxAgeMs ? null : known;
  }
}
