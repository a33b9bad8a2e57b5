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
 * For this long an instance's own statement holds against a list that does not show the instance;
 * the list lags, but an instance that died does not come back to say so.
 */
const STATEMENT_HOLDS_MS = 30_000;

/** Changes kept for followers that are only a little behind; others get the whole view. */
const MAX_CHANGES = 4096;

function isSame(left: InstanceRecord, right: InstanceRecord): boolean {
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
 * A process's view of the instances: the platform's list, which lags, and what relays and the
 * instances themselves say, which wins. All of it is a hint; agents decide.
 */
export class Membership {
  readonly #clock: Clock;

  readonly #self: InstanceId | null;

  readonly #instances = new Map<InstanceId, AnnouncedInstance>();

  readonly #statedAt = new Map<InstanceId, number>();

  /** Instances that the last list called leaving; null before the first list. */
  #listedLeaving: ReadonlySet<InstanceId> | null = null;

  #changes: InstanceId[] = [];

  #version = 0;

  #agents: Map<TargetId, InstanceRecord> | null = null;

  #zones: Map<Zone, InstanceRecord[]> | null = null;

  /** @param self id of this process, which no list removes */
  constructor(clock: Clock, self: InstanceId | null = null) {
    this.#clock = clock;
    this.#self = self;
  }

  /** Returns a number that grows with every visible change. */
  getVersion(): number {
    return this.#version;
  }

  /**
   * Merges the platform's list. An instance's own statement wins over the list's record, except
   * that a change from live to leaving in the list counts until the next statement.
   */
  applyList(records: readonly InstanceRecord[]): void {
    const listed = new Set<InstanceId>();
    const leaving = new Set<InstanceId>();
    for (const record of records) {
      listed.add(record.id);
      if (record.state === 'leaving') leaving.add(record.id);
      const known = this.#instances.get(record.id);
      if (known === undefined || known.sequence === 0) this.#set({ record, sequence: 0 }, known);
      else if (this.#listedLeaving !== null && record.state === 'leaving') {
        const began = !this.#listedLeaving.has(record.id);
        const left = { ...known, record: { ...known.record, state: 'leaving' as const } };
        if (began) this.#set(left, known);
      }
    }
    this.#listedLeaving = leaving;
    this.#removeMissing(listed);
  }

  /** Merges what a relay or peer says. */
  applyChanges(changes: MembershipChanges): void {
    for (const upsert of changes.upserts) this.acceptStatement(upsert);
    // Equal sizes show that nothing is missing, which is the common case at the design size.
    if (changes.full && this.#instances.size > changes.upserts.length) {
      this.#removeMissing(new Set(changes.upserts.map(({ record }) => record.id)));
    }
    // The sender has already let the instance's own statement hold against the list.
    for (const id of changes.removed) this.#remove(id);
  }

  /** Records the statement of an instance about itself; older statements are ignored. */
  acceptStatement(instance: AnnouncedInstance): void {
    const known = this.#instances.get(instance.record.id);
    if (known === instance) return;
    if (known !== undefined && known.sequence > instance.sequence) return;
    if (instance.sequence > (known?.sequence ?? 0)) {
      this.#statedAt.set(instance.record.id, this.#clock.getNow());
    }
    this.#set(instance, known);
  }

  /** Returns what an instance announced last; undefined where none is known. */
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

  /** Lists the entries, also those that are leaving. */
  listEntries(): InstanceRecord[] {
    return this.listInstances().filter((record) => record.role === 'entry');
  }

  /** Returns the agent of a target, preferring one that is not leaving. */
  findAgent(target: string): InstanceRecord | undefined {
    return this.#getAgents().get(target as TargetId);
  }

  /** Lists the agents by target; a target has one agent, preferably one that is not leaving. */
  listAgents(): ReadonlyMap<TargetId, InstanceRecord> {
    return this.#getAgents();
  }

  /** Tells whether an instance said, or the list says, that it is leaving. */
  isLeaving(id: string): boolean {
    return this.getInstance(id)?.state === 'leaving';
  }

  /** Lists the zones in which any instance is known, in order of name. */
  listZones(): Zone[] {
    return [...this.#getZones().keys()].sort();
  }

  /** Lists the instances of a zone. */
  listZone(zone: Zone): readonly InstanceRecord[] {
    return this.#getZones().get(zone) ?? [];
  }

  /** Lists what changed after `version`, or the whole view where that is too long ago. */
  listChanges(version: number | null): MembershipChanges {
    const behind = version === null ? Infinity : this.#version - version;
    if (behind > this.#changes.length) {
      return { full: true, upserts: [...this.#instances.values()], removed: [] };
    }
    const upserts: AnnouncedInstance[] = [];
    const removed: InstanceId[] = [];
    for (const id of new Set(this.#changes.slice(this.#changes.length - behind))) {
      const instance = this.#instances.get(id);
      if (instance === undefined) removed.push(id);
      else upserts.push(instance);
    }
    return { full: false, upserts, removed };
  }

  #set(instance: AnnouncedInstance, known: AnnouncedInstance | undefined): void {
    this.#instances.set(instance.record.id, instance);
    // A statement that repeats the known record is no change worth sending to every follower.
    if (known === undefined || !isSame(known.record, instance.record)) {
      this.#recordChange(instance.record.id);
    }
  }

  #removeMissing(present: ReadonlySet<InstanceId>): void {
    for (const id of [...this.#instances.keys()]) {
      if (!present.has(id)) this.#removeUnstated(id);
    }
  }

  #removeUnstated(id: InstanceId): void {
    const statedAt = this.#statedAt.get(id) ?? -Infinity;
    if (this.#clock.getNow() - statedAt >= STATEMENT_HOLDS_MS) this.#remove(id);
  }

  #remove(id: InstanceId): void {
    if (id === this.#self) return;
    this.#statedAt.delete(id);
    if (this.#instances.delete(id)) this.#recordChange(id);
  }

  #recordChange(id: InstanceId): void {
    this.#version += 1;
    this.#changes.push(id);
    if (this.#changes.length > 2 * MAX_CHANGES) this.#changes = this.#changes.slice(-MAX_CHANGES);
    this.#agents = null;
    this.#zones = null;
  }

  #getAgents(): Map<TargetId, InstanceRecord> {
    if (this.#agents !== null) return this.#agents;
    const agents = new Map<TargetId, InstanceRecord>();
    for (const { record } of this.#instances.values()) {
      if (record.role !== 'agent' || record.target === undefined) continue;
      if (record.state === 'leaving' && agents.has(record.target)) continue;
      agents.set(record.target, record);
    }
    this.#agents = agents;
    return agents;
  }

  #getZones(): Map<Zone, InstanceRecord[]> {
    if (this.#zones !== null) return this.#zones;
    const zones = new Map<Zone, InstanceRecord[]>();
    for (const { record } of this.#instances.values()) {
      const instances = zones.get(record.zone);
      if (instances === undefined) zones.set(record.zone, [record]);
      else instances.push(record);
    }
    this.#zones = zones;
    return zones;
  }
}
