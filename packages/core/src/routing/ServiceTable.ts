import type { ServiceName } from '../ids/ServiceName.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { RouteMember } from './RouteMember.js';
import type { RouteTarget } from './RouteTarget.js';
import type { TargetView } from './TargetView.js';
import { GroupLoad } from './GroupLoad.js';

/**
 * The targets of one service at an entry, with cached values that are too costly to compute for
 * each pick: the usable targets, their cumulative sampling weights and the load of the groups.
 */
export class ServiceTable {
  readonly service: ServiceName;

  /** All targets of the service. */
  targets: readonly RouteTarget[] = [];

  /** The subset of targets that this entry uses. */
  members: readonly RouteMember[] = [];

  /** The members that may receive new work. */
  usable: readonly RouteMember[] = [];

  /** Minimum reported queue delay of the usable members, milliseconds. */
  minQueueDelayMs = 0;

  /** Whether `usable` is out of date and must be rebuilt before the next pick. */
  stale = true;

  refreshedMs = -Infinity;

  probeSearchedMs = -Infinity;

  #membersById = new Map<TargetId, RouteMember>();

  #groups = new Map<string | null, { load: GroupLoad; views: TargetView[] }>();

  #zonesIn = new Set<Zone>();

  #zonesOut = new Set<Zone>();

  /** Cumulative sampling weights of `usable`. */
  #cumulativeWeights = new Float64Array(0);

  constructor(service: ServiceName) {
    this.service = service;
  }

  /** Sets the subset that this entry uses. */
  setMembers(subset: readonly RouteTarget[], getView: (target: RouteTarget) => TargetView): void {
    this.#membersById = new Map();
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
      this.#membersById.set(target.id, member);
    }
    this.#groups = groups;
    this.members = members;
    this.stale = true;
  }

  getMember(id: TargetId): RouteMember | undefined {
    return this.#membersById.get(id);
  }

  /** Returns the load of a group's ranks in the subset; an empty load if there are none. */
  getLoad(group: string | null): GroupLoad {
    return this.#groups.get(group)?.load ?? new GroupLoad(group !== null);
  }

  setZones(zonesIn: readonly Zone[], zonesOut: readonly Zone[]): void {
    this.#zonesIn = new Set(zonesIn);
    this.#zonesOut = new Set(zonesOut);
    this.stale = true;
  }

  /**
   * A zone is in unless the document lists it as out, or lists other zones as in but not this one.
   */
  isZoneIn(zone: Zone): boolean {
    if (this.#zonesOut.has(zone)) return false;
    return this.#zonesIn.size === 0 || this.#zonesIn.has(zone);
  }

  /**
   * Recomputes the cached values.
   *
   * @param computeWeight returns the sampling weight of a member; 0 excludes it
   */
  refresh(nowMs: number, computeWeight: (member: RouteMember) => number): void {
    const totals = { weight: 0, limit: 0, tokens: 0, inFlight: 0 };
    for (const { load, views } of this.#groups.values()) {
      load.update(views, nowMs);
      totals.weight += load.sums.weight;
      totals.limit += load.sums.limit;
      totals.tokens += load.sums.tokens;
      totals.inFlight += load.sums.inFlight;
    }
    for (const { load } of this.#groups.values()) {
      load.serviceTokensPerSlot = totals.limit > 0 ? totals.tokens / totals.limit : 0;
      load.meanRequestTokens = totals.inFlight > 0 ? totals.tokens / totals.inFlight : 0;
      load.serviceLimit = totals.weight > 0 ? totals.limit / totals.weight : 0;
    }
    const usable: RouteMember[] = [];
    const cumulativeWeights = new Float64Array(this.members.length);
    let weightSum = 0;
    let leastWaitMs = Infinity;
    for (const member of this.members) {
      const weight = computeWeight(member);
      if (!(weight > 0)) continue;
      weightSum += weight;
      cumulativeWeights[usable.length] = weightSum;
      usable.push(member);
      leastWaitMs = Math.min(leastWaitMs, member.view.getQueueDelayMs(nowMs));
    }
    this.usable = usable;
    this.#cumulativeWeights = cumulativeWeights;
    this.minQueueDelayMs = usable.length === 0 ? 0 : leastWaitMs;
    this.stale = false;
    this.refreshedMs = nowMs;
  }

  /** Records the time of the last search for a due probe. */
  recordProbeSearch(nowMs: number): void {
    this.probeSearchedMs = nowMs;
  }

  /** Returns a random usable member, with a probability proportional to its weight. */
  draw(random: RandomSource): RouteMember | undefined {
    const count = this.usable.length;
    if (count === 0) return undefined;
    const point = random.next() * (this.#cumulativeWeights[count - 1] ?? 0);
    let low = 0;
    let high = count - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#cumulativeWeights[middle] ?? 0) > point) high = middle;
      else low = middle + 1;
    }
    return this.usable[low];
  }
}
