import type { Clock } from '../clock/Clock.js';
import type { InstanceId } from '../ids/InstanceId.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';
import type { AnnouncedInstance } from './AnnouncedInstance.js';
import type { InstanceRecord } from './InstanceRecord.js';

interface MembershipChanges {
  readonly full: boolean;
  readonly upserts: readonly AnnouncedInstance[];
  readonly removed: readonly InstanceId[];
}

/**
 * Time for which an announced instance is kept although the list does not contain it. The list
 * lags, so the instance may be too new for it; but an instance that has failed sends no notice, so
 * the list must take effect eventually.
 */
const ANNOUNCEMENT_VALID_MS = 30_000;

/** Number of changes kept for followers that are slightly behind; others get the full view. */
const MAX_CHANGES = 4096;

function isSameRecord(left: InstanceRecord, right: InstanceRecord): boolean {
  if (left === right) return true;
  return (
    left.role === right.role &&
    left.zone === right.zone &&
    left.address === right.address &&
    left.callerUrl === right.callerUrl &&
    left.target === right.target &&
    left.state === right.state
  );
}

/**
 * A process's view of the instances, merged from the platform's list, which lags, and announcements
 * by relays and the instances themselves, which take precedence. The view is a hint; agents decide
 * whether to accept a request.
 */
export class Membership {
  readonly #clock: Clock;

  readonly #self: InstanceId | null;

  readonly #instances = new Map<InstanceId, AnnouncedInstance>();

  readonly #announcedAtMs = new Map<InstanceId, number>();

  /** Instances with state `leaving` in the last list; null before the first list. */
  #listedLeaving: ReadonlySet<InstanceId> | null = null;

  #changes: InstanceId[] = [];

  #version = 0;

  #agentsByTarget: Map<TargetId, InstanceRecord> | null = null;

  #instancesByZone: Map<Zone, InstanceRecord[]> | null = null;

  /** @param self id of this process, which is never removed; null if it is no instance */
  constructor(clock: Clock, self: InstanceId | null = null) {
    this.#clock = clock;
    this.#self = self;
  }

  /** Returns a version number that increases with every change. */
  getVersion(): number {
    return this.#version;
  }

  /**
   * Merges the platform's list. An instance's own announcement takes precedence over the list,
   * except that a change from live to leaving in the list applies until the next announcement.
   */
  applyList(records: readonly InstanceRecord[]): void {
    const listedIds = new Set<InstanceId>();
    const leavingIds = new Set<InstanceId>();
    for (const record of records) {
      listedIds.add(record.id);
      if (record.state === 'leaving') leavingIds.add(record.id);
      const prior = this.#instances.get(record.id);
      if (prior === undefined || prior.sequence === 0) this.#set({ record, sequence: 0 }, prior);
      else if (this.#listedLeaving !== null && record.state === 'leaving') {
        const isNewlyLeaving = !this.#listedLeaving.has(record.id);
        const updated = {
          ...prior,
          record: { ...prior.record, state: 'leaving' as const },
        };
        if (isNewlyLeaving) this.#set(updated, prior);
      }
    }
    this.#listedLeaving = leavingIds;
    this.#removeMissing(listedIds);
  }

  /** Merges changes received from a relay or peer. */
  applyChanges(changes: MembershipChanges): void {
    for (const upsert of changes.upserts) this.handleAnnouncement(upsert);
    // All upserts have been merged, so equal sizes mean that nothing has to be removed. This is the
    // common case in a large fleet.
    if (changes.full && this.#instances.size > changes.upserts.length) {
      this.#removeMissing(new Set(changes.upserts.map(({ record }) => record.id)));
    }
    // The sender has already kept announced instances for the time they are valid.
    for (const id of changes.removed) this.#remove(id);
  }

  /** Handles an announcement of an instance about itself; older announcements are ignored. */
  handleAnnouncement(instance: AnnouncedInstance): void {
    const prior = this.#instances.get(instance.record.id);
    if (prior === instance) return;
    if (prior !== undefined && prior.sequence > instance.sequence) return;
    if (instance.sequence > (prior?.sequence ?? 0)) {
      this.#announcedAtMs.set(instance.record.id, this.#clock.getNow());
    }
    this.#set(instance, prior);
  }

  /**
   * Returns an instance with the sequence number of its last announcement; undefined if unknown.
   */
  getAnnounced(id: string): AnnouncedInstance | undefined {
    return this.#instances.get(id as InstanceId);
  }

  getInstance(id: string): InstanceRecord | undefined {
    return this.#instances.get(id as InstanceId)?.record;
  }

  countInstances(): number {
    return this.#instances.size;
  }

  listInstances(): InstanceRecord[] {
    return [...this.#instances.values()].map(({ record }) => record);
  }

  /** Lists the entries, including those that are leaving. */
  listEntries(): InstanceRecord[] {
    return this.listInstances().filter((record) => record.role === 'entry');
  }

  /** Returns the agent of a target, preferring one that is not leaving. */
  findAgent(target: string): InstanceRecord | undefined {
    return this.#getAgentsByTarget().get(target as TargetId);
  }

  /** Lists the agents by target; a target has one agent, preferably one that is not leaving. */
  listAgents(): ReadonlyMap<TargetId, InstanceRecord> {
    return this.#getAgentsByTarget();
  }

  /** Returns whether the instance announced, or the list states, that it is leaving. */
  isLeaving(id: string): boolean {
    return this.getInstance(id)?.state === 'leaving';
  }

  /** Lists the zones that have instances, sorted by name. */
  listZones(): Zone[] {
    return [...this.#getInstancesByZone().keys()].sort();
  }

  /** Lists the instances of a zone. */
  listZone(zone: Zone): readonly InstanceRecord[] {
    return this.#getInstancesByZone().get(zone) ?? [];
  }

  /** Lists the changes after `version`, or the full view if they are no longer kept. */
  listChanges(version: number | null): MembershipChanges {
    const changesBehind = version === null ? Infinity : this.#version - version;
    if (changesBehind > this.#changes.length) {
      return { full: true, upserts: [...this.#instances.values()], removed: [] };
    }
    const upserts: AnnouncedInstance[] = [];
    const removed: InstanceId[] = [];
    for (const id of new Set(this.#changes.slice(this.#changes.length - changesBehind))) {
      const instance = this.#instances.get(id);
      if (instance === undefined) removed.push(id);
      else upserts.push(instance);
    }
    return { full: false, upserts, removed };
  }

  #set(instance: AnnouncedInstance, prior: AnnouncedInstance | undefined): void {
    this.#instances.set(instance.record.id, instance);
    // An announcement with an unchanged record is not worth sending to every follower.
    if (prior === undefined || !isSameRecord(prior.record, instance.record)) {
      this.#recordChange(instance.record.id);
    }
  }

  #removeMissing(presentIds: ReadonlySet<InstanceId>): void {
    for (const id of [...this.#instances.keys()]) {
      if (!presentIds.has(id)) this.#removeUnlessAnnounced(id);
    }
  }

  #removeUnlessAnnounced(id: InstanceId): void {
    const announcedAtMs = this.#announcedAtMs.get(id) ?? -Infinity;
    if (this.#clock.getNow() - announcedAtMs >= ANNOUNCEMENT_VALID_MS) this.#remove(id);
  }

  #remove(id: InstanceId): void {
    if (id === this.#self) return;
    this.#announcedAtMs.delete(id);
    if (this.#instances.delete(id)) this.#recordChange(id);
  }

  #recordChange(id: InstanceId): void {
    this.#version += 1;
    this.#changes.push(id);
    if (this.#changes.length > 2 * MAX_CHANGES) this.#changes = this.#changes.slice(-MAX_CHANGES);
    this.#agentsByTarget = null;
    this.#instancesByZone = null;
  }

  #getAgentsByTarget(): Map<TargetId, InstanceRecord> {
    if (this.#agentsByTarget !== null) return this.#agentsByTarget;
    const agents = new Map<TargetId, InstanceRecord>();
    for (const { record } of this.#instances.values()) {
      if (record.role !== 'agent' || record.target === undefined) continue;
      if (record.state === 'leaving' && agents.has(record.target)) continue;
      agents.set(record.target, record);
    }
    this.#agentsByTarget = agents;
    return agents;
  }

  #getInstancesByZone(): Map<Zone, InstanceRecord[]> {
    if (this.#instancesByZone !== null) return this.#instancesByZone;
    const zones = new Map<Zone, InstanceRecord[]>();
    for (const { record } of this.#instances.values()) {
      const instances = zones.get(record.zone);
      if (instances === undefined) zones.set(record.zone, [record]);
      else instances.push(record);
    }
    this.#instancesByZone = zones;
    return zones;
  }
}
