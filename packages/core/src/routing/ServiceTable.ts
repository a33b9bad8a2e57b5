import type { ServiceName } from '../ids/ServiceName.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { RouteMember } from './RouteMember.js';
import type { RouteTarget } from './RouteTarget.js';
import type { TargetView } from './TargetView.js';
import { GroupLoad } from './GroupLoad.js';

/**
 * The targets of one service as an entry sees them, with the values that are too costly to compute
 * for each pick: the usable targets, their cumulative sampling weights and the load of the groups.
 */
export class ServiceTable {
  readonly service: ServiceName;

  /** All targets of the service. */
  targets: readonly RouteTarget[] = [];

  /** The targets that this entry uses. */
  members: readonly RouteMember[] = [];

  /** The members that may receive work. */
  usable: readonly RouteMember[] = [];

  /** Least reported wait among the usable members, milliseconds. */
  leastWaitMs = 0;

  /** Whether `usable` no longer holds and must be rebuilt before the next pick. */
  stale = true;

  refreshedMs = -Infinity;

  probedMs = -Infinity;

  #byId = new Map<TargetId, RouteMember>();

  #groups = new Map<string | null, { load: GroupLoad; views: TargetView[] }>();

  #zonesIn = new Set<Zone>();

  #zonesOut = new Set<Zone>();

  /** Running sums of the sampling weights of `usable`. */
  #sums = new Float64Array(0);

  constructor(service: ServiceName) {
    this.service = service;
  }

  /** Sets the subset that this entry uses. */
  setMembers(subset: readonly RouteTarget[], getView: (target: RouteTarget) => TargetView): void {
    this.#byId = new Map();
    const groups = new Map<string | null, { load: GroupLoad; views: TargetView[] }>();
    const members: RouteMember[] = [];
    for (const target of subset) {
      const group = groups.get(target.group) ?? {
        load: this.#groups.get(target.group)?.load ?? new GroupLoad(target.group !== null),
        views: [],
      };
      groups.set(target.group, group);
      const member = { target, view: getView(target), load: group.load };
      group.views.push(member.view);
      members.push(member);
      this.#byId.set(target.id, member);
    }
    this.#groups = groups;
    this.members = members;
    this.stale = true;
  }

  getMember(id: TargetId): RouteMember | undefined {
    return this.#byId.get(id);
  }

  /** Returns the load of a group's known ranks; an empty one where none is known. */
  getLoad(group: string | null): GroupLoad {
    return this.#groups.get(group)?.load ?? new GroupLoad(group !== null);
  }

  setZones(zonesIn: readonly Zone[], zonesOut: readonly Zone[]): void {
    this.#zonesIn = new Set(zonesIn);
    this.#zonesOut = new Set(zonesOut);
    this.stale = true;
  }

  /** A zone is in unless the document takes it out or lists the zones that are in without it. */
  isZoneIn(zone: Zone): boolean {
    if (this.#zonesOut.has(zone)) return false;
    return this.#zonesIn.size === 0 || this.#zonesIn.has(zone);
  }

  /**
   * Rebuilds what the picks use.
   *
   * @param weigh sampling weight of a member; 0 keeps it out
   */
  refresh(nowMs: number, weigh: (member: RouteMember) => number): void {
    const sums = { weight: 0, limit: 0, tokens: 0, inFlight: 0 };
    for (const { load, views } of this.#groups.values()) {
      load.update(views, nowMs);
      sums.weight += load.sums.weight;
      sums.limit += load.sums.limit;
      sums.tokens += load.sums.tokens;
      sums.inFlight += load.sums.inFlight;
    }
    for (const { load } of this.#groups.values()) {
      load.serviceTokensPerSlot = sums.limit > 0 ? sums.tokens / sums.limit : 0;
      load.serviceCost = sums.inFlight > 0 ? sums.tokens / sums.inFlight : 0;
      load.serviceLimit = sums.weight > 0 ? sums.limit / sums.weight : 0;
    }
    const usable: RouteMember[] = [];
    const runningSums = new Float64Array(this.members.length);
    let sum = 0;
    let leastWaitMs = Infinity;
    for (const member of this.members) {
      const weight = weigh(member);
      if (!(weight > 0)) continue;
      sum += weight;
      runningSums[usable.length] = sum;
      usable.push(member);
      leastWaitMs = Math.min(leastWaitMs, member.view.getQueueDelayMs(nowMs));
    }
    this.usable = usable;
    this.#sums = runningSums;
    this.leastWaitMs = usable.length === 0 ? 0 : leastWaitMs;
    this.stale = false;
    this.refreshedMs = nowMs;
  }

  /** Notes that a probe was looked for. */
  recordProbe(nowMs: number): void {
    this.probedMs = nowMs;
  }

  /** Draws a usable member with a probability proportional to its weight. */
  draw(random: RandomSource): RouteMember | undefined {
    const count = this.usable.length;
    if (count === 0) return undefined;
    const point = random.next() * (this.#sums[count - 1] ?? 0);
    let low = 0;
    let high = count - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#sums[middle] ?? 0) > point) high = middle;
      else low = middle + 1;
    }
    return this.usable[low];
  }
}
