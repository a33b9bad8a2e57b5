import type { Clock } from '../clock/Clock.js';
import type { GroupReport } from './GroupReport.js';
import { reportMaxAgeMs } from './reportMaxAgeMs.js';

interface GroupState {
  readonly report: GroupReport;
  /** When the report arrived, monotonic milliseconds. */
  readonly receivedMs: number;
  /** When the group was first seen closed; null while it is open. */
  readonly closedSinceMs: number | null;
  /** When this entry first saw the group open. */
  readonly openSinceMs: number;
}

/**
 * Longest formation of a group, and longest wait for its first demand-based map, milliseconds. A
 * group that stays closed longer lacks a rank; one without a map by then lacks a planner.
 */
const FORMATION_TIMEOUT_MS = 3000;

/**
 * Reports of an idle group come every 0.5 s, and single ones are lost. After this time without one
 * its planner may be gone.
 */
const REPORT_OVERDUE_MS = 1200;

/** Agents report to new subscribers at once; a rank without a report by then has no agent. */
const FIRST_REPORT_TIMEOUT_MS = 600;

/** The groups of model ranks as one entry last saw them, by the address of a rank. */
export class GroupStates {
  readonly #clock: Clock;

  readonly #states = new Map<string, GroupState>();

  /** When the state of each rank that never reported was first queried, by address. */
  readonly #awaitingReportSinceMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  handleReport(report: GroupReport): void {
    const receivedMs = this.#clock.getNow();
    for (const { address } of report.ranks) {
      const known = this.#states.get(address);
      const closedSinceMs = report.isOpen ? null : (known?.closedSinceMs ?? receivedMs);
      const isSameOpening = known?.report.epoch === report.epoch && known.closedSinceMs === null;
      this.#states.set(address, {
        report,
        receivedMs,
        closedSinceMs,
        openSinceMs: isSameOpening ? known.openSinceMs : receivedMs,
      });
      this.#awaitingReportSinceMs.delete(address);
    }
    if (!report.isOpen) this.#closeGroup(report, receivedMs);
  }

  /** Returns the last report of the rank's group; null where it is too old. */
  getReport(address: string): GroupReport | null {
    return this.#get(address)?.report ?? null;
  }

  /** Returns whether a report of the rank's group is overdue, or none has arrived. */
  isReportOverdue(address: string): boolean {
    const state = this.#states.get(address);
    return state === undefined || this.#clock.getNow() - state.receivedMs > REPORT_OVERDUE_MS;
  }

  /**
   * Returns whether the rank's group is complete, as far as this entry knows.
   *
   * @param hasGroups whether the ranks of the service form groups, so that a report is expected
   * @param isRecorded whether the query of a rank that never reported counts as the first one
   */
  isOpen(address: string, hasGroups: boolean, isRecorded = true): boolean {
    const state = this.#get(address);
    if (state !== null) return state.closedSinceMs === null;
    return !hasGroups || !this.#isReportDue(address, isRecorded);
  }

  /** Returns whether a group that is not open may open soon. */
  isForming(address: string): boolean {
    const state = this.#get(address);
    if (state === null) return true;
    if (state.closedSinceMs === null) return false;
    return this.#clock.getNow() - state.closedSinceMs < FORMATION_TIMEOUT_MS;
  }

  /** Returns whether the group has formed recently and still uses its initial expert map. */
  hasInitialMap(address: string): boolean {
    const state = this.#get(address);
    if (state === null || state.closedSinceMs !== null || state.report.isMapped) return false;
    return this.#clock.getNow() - state.openSinceMs < FORMATION_TIMEOUT_MS;
  }

  /**
   * Forgets ranks that are not registered and were last seen before a time.
   *
   * @param addresses of the targets that are registered
   * @param sinceMs monotonic milliseconds
   */
  expire(addresses: ReadonlySet<string>, sinceMs: number): void {
    for (const [address, { receivedMs }] of this.#states) {
      if (receivedMs < sinceMs && !addresses.has(address)) this.#states.delete(address);
    }
    for (const [address, firstMs] of this.#awaitingReportSinceMs) {
      if (firstMs < sinceMs && !addresses.has(address)) this.#awaitingReportSinceMs.delete(address);
    }
  }

  /** Returns the number of ranks in memory. */
  count(): number {
    return this.#states.size + this.#awaitingReportSinceMs.size;
  }

  /** Closes the ranks that a report does not name: a group is closed as a whole. */
  #closeGroup({ group, epoch }: GroupReport, nowMs: number): void {
    for (const [address, state] of this.#states) {
      const { report, closedSinceMs } = state;
      if (report.group !== group || report.epoch > epoch || closedSinceMs !== null) continue;
      this.#states.set(address, { ...state, closedSinceMs: nowMs });
    }
  }

  /** Returns whether the first report of a rank is still expected; its group may be closed. */
  #isReportDue(address: string, isRecorded: boolean): boolean {
    if (this.#states.has(address)) return false;
    const nowMs = this.#clock.getNow();
    const sinceMs = this.#awaitingReportSinceMs.get(address) ?? nowMs;
    if (isRecorded) this.#awaitingReportSinceMs.set(address, sinceMs);
    return nowMs - sinceMs < FIRST_REPORT_TIMEOUT_MS;
  }

  #get(address: string): GroupState | null {
    const known = this.#states.get(address);
    if (known === undefined) return null;
    return this.#clock.getNow() - known.receivedMs > reportMaxAgeMs ? null : known;
  }
}
