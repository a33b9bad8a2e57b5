import {
  EntryRecord,
  RouteTable,
  Zone,
  decodeJson,
  type Clock,
  type DirectTarget,
  type EntryDirectory,
  type StoreRecord,
  type TargetPicker,
  type TargetRegistry,
} from '@limpetbay/core';
import type { IgnoredRecordLog, Log } from '@limpetbay/runtime';
import type { SharedTargetLimits } from '../limits/SharedTargetLimits.js';
import type { SharedSuspectBreaker } from '../suspects/SharedSuspectBreaker.js';
import { HeldTables } from './HeldTables.js';
import type { MirrorListener } from './MirrorListener.js';
import type { MirrorSnapshot } from './MirrorSnapshot.js';
import type { RecordLayout } from './RecordLayout.js';

interface GatewayViewOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly ignored: IgnoredRecordLog;
  readonly layout: RecordLayout;
  readonly registry: TargetRegistry;
  readonly entries: EntryDirectory;
  readonly picker: TargetPicker;
  readonly suspects: SharedSuspectBreaker;
  readonly limits: SharedTargetLimits;
  readonly onConfig: (table: RouteTable) => void;
}

/** How long an evacuation that a restored store lacks holds, until the operator has written it again. */
const EVACUATION_GRACE_MS = 5000;

/** State of an entry from the store: configuration, zones out of service, targets and entries. */
export class GatewayView implements MirrorListener {
  readonly #options: GatewayViewOptions;

  readonly #evacuatedZones = new Set<string>();

  /** Evacuations that a restored store lacks, and until when they hold, monotonic milliseconds. */
  readonly #lostEvacuations = new Map<string, number>();

  #table: RouteTable | null = null;

  readonly #heldTables = new HeldTables();

  #hasTargets = false;

  constructor(options: GatewayViewOptions) {
    this.#options = options;
  }

  getTable(): RouteTable | null {
    return this.#table;
  }

  getHeldTables(): HeldTables {
    return this.#heldTables;
  }

  /** Returns whether configuration and targets have been read at least once. */
  isComplete(): boolean {
    return this.#table !== null && this.#hasTargets;
  }

  onSnapshot(snapshot: MirrorSnapshot): void {
    const { records, isRestored } = snapshot;
    const { layout, registry, entries, clock } = this.#options;
    const targets: DirectTarget[] = [];
    const entryRecords: EntryRecord[] = [];
    const invalidTargets = new Set<string>();
    const invalidEntries = new Set<string>();
    const suspectRecords: StoreRecord[] = [];
    const limitRecords: StoreRecord[] = [];
    const evacuatedBefore = [...this.#evacuatedZones];
    const lostBefore = new Map(this.#lostEvacuations);
    this.#evacuatedZones.clear();
    this.#lostEvacuations.clear();
    for (const record of records) {
      if (record.key.startsWith(layout.targetPrefix)) {
        const target = this.#decodeTarget(record);
        if (target !== null) targets.push(target);
        else invalidTargets.add(this.#readTargetId(record.key));
      } else if (record.key.startsWith(layout.entryPrefix)) {
        const entry = this.#decodeEntry(record);
        if (entry !== null) entryRecords.push(entry);
        else invalidEntries.add(this.#readEntryName(record.key));
      } else if (record.key.startsWith(layout.suspectPrefix)) suspectRecords.push(record);
      else if (record.key.startsWith(layout.limitPrefix)) limitRecords.push(record);
      else this.onRecord(record);
    }
    if (isRestored) {
      for (const zone of evacuatedBefore) {
        if (this.#evacuatedZones.has(zone)) continue;
        this.#evacuatedZones.add(zone);
        const untilMs = lostBefore.get(zone) ?? clock.getNow() + EVACUATION_GRACE_MS;
        this.#lostEvacuations.set(zone, untilMs);
      }
      registry.restore(targets);
      entries.restore(entryRecords);
    } else {
      registry.replaceAll(targets, invalidTargets);
      entries.replaceAll(entryRecords, invalidEntries);
    }
    this.#options.suspects.handleSnapshot({ ...snapshot, records: suspectRecords });
    this.#options.limits.handleSnapshot({ ...snapshot, records: limitRecords });
    this.#hasTargets = true;
    this.#options.picker.setEvacuated(this.#evacuatedZones);
    this.#options.log.report('store records loaded', {
      era: snapshot.era,
      isRestored,
      targets: targets.length,
      coldTargets: targets.filter(({ id }) => registry.isCold(id)).length,
      unregisteredTargets: registry.listUnregistered(),
      entries: entryRecords.length,
      zonesOut: [...this.#evacuatedZones],
      lostEvacuations: [...this.#lostEvacuations.keys()],
      config: this.#table?.config.version,
    });
  }

  onRecord(record: StoreRecord): void {
    const { layout, registry, entries } = this.#options;
    if (record.key === layout.configKey) this.#handleConfig(record);
    else if (record.key.startsWith(layout.evacuationPrefix)) {
      const zone = record.key.slice(layout.evacuationPrefix.length);
      const checked = Zone.safeParse(zone);
      if (!checked.success) {
        this.#options.ignored.report('evacuation', record.key, 'does not name a zone');
        return;
      }
      this.#evacuatedZones.add(zone);
      this.#lostEvacuations.delete(zone);
      this.#options.log.report('zone taken out of service', { zone, revision: record.revision });
    } else if (record.key.startsWith(layout.targetPrefix)) {
      const target = this.#decodeTarget(record);
      if (target === null) registry.retain(this.#readTargetId(record.key));
      else {
        this.#logTargetChange(target);
        registry.upsert(target);
      }
    } else if (record.key.startsWith(layout.entryPrefix)) {
      const entry = this.#decodeEntry(record);
      if (entry !== null) entries.upsert(entry);
    } else if (record.key.startsWith(layout.suspectPrefix)) {
      this.#options.suspects.handleRecord(record);
    } else if (record.key.startsWith(layout.limitPrefix)) {
      this.#options.limits.handleRecord(record);
    }
  }

  onRemoval(key: string): void {
    const { layout, registry, entries, log } = this.#options;
    if (key.startsWith(layout.evacuationPrefix)) {
      const zone = key.slice(layout.evacuationPrefix.length);
      this.#evacuatedZones.delete(zone);
      this.#lostEvacuations.delete(zone);
      log.report('zone put back into service', { zone });
    } else if (key.startsWith(layout.targetPrefix)) {
      const id = this.#readTargetId(key);
      const keptMs = registry.remove(id);
      log.report('target registration removed', { target: id, keptMs });
    } else if (key.startsWith(layout.entryPrefix)) {
      const name = this.#readEntryName(key);
      const keptMs = entries.remove(name);
      log.report('entry registration removed', { entry: name, keptMs });
    } else if (key.startsWith(layout.suspectPrefix)) this.#options.suspects.handleRemoval(key);
    else if (key.startsWith(layout.limitPrefix)) this.#options.limits.handleRemoval(key);
  }

  /** Ends what was kept because the store was away or restored, and was not written again. */
  expire(): void {
    const { registry, log, clock } = this.#options;
    const nowMs = clock.getNow();
    registry.expire();
    const expired = registry.takeExpired();
    if (expired.length > 0) log.report('targets did not register again', { targets: expired });
    for (const [zone, untilMs] of this.#lostEvacuations) {
      if (nowMs < untilMs) continue;
      this.#lostEvacuations.delete(zone);
      this.#evacuatedZones.delete(zone);
      log.warn('zone put back into service: its evacuation was not written again', { zone });
    }
  }

  /** Handles that the store becomes unavailable to this process, or available again. */
  handleStoreAvailability(isUnavailable: boolean): void {
    const { registry, entries } = this.#options;
    registry.setStoreUnavailable(isUnavailable);
    entries.setStoreUnavailable(isUnavailable);
  }

  #handleConfig(record: StoreRecord): void {
    const { layout, log, ignored, onConfig } = this.#options;
    const decoded = layout.decodeConfig(record.value);
    if (decoded.err) {
      ignored.report('configuration', record.key, decoded.val.message);
      return;
    }
    const { version } = decoded.val;
    const previousVersion = this.#table?.config.version ?? -1;
    if (version <= previousVersion) return;
    this.#table = new RouteTable(decoded.val);
    this.#heldTables.add(this.#table, Buffer.byteLength(record.value));
    log.report('configuration active', {
      version,
      was: previousVersion,
      revision: record.revision,
      routes: decoded.val.routes.length,
      bytes: Buffer.byteLength(record.value),
      heldTables: this.#heldTables.count(),
    });
    onConfig(this.#table);
  }

  #decodeTarget({ key, value }: StoreRecord): DirectTarget | null {
    const { layout, ignored } = this.#options;
    const decoded = layout.decodeTarget(this.#readTargetId(key), value);
    if (decoded.ok) return decoded.val;
    ignored.report('target', key, decoded.val.message);
    return null;
  }

  #decodeEntry({ key, value }: StoreRecord): EntryRecord | null {
    const decoded = decodeJson(EntryRecord, value);
    // A record under another key would replace that of the entry that it names.
    const isOwnName = decoded.ok && decoded.val.name === this.#readEntryName(key);
    if (isOwnName) return decoded.val;
    const cause = decoded.err ? decoded.val.message : 'name: must be that of the key';
    this.#options.ignored.report('entry', key, cause);
    return null;
  }

  #readTargetId(key: string): string {
    return key.slice(this.#options.layout.targetPrefix.length);
  }

  #readEntryName(key: string): string {
    return key.slice(this.#options.layout.entryPrefix.length);
  }

  #logTargetChange(target: DirectTarget): void {
    const previous = this.#options.registry.get(target.id);
    const isSameRun = previous?.bornMs === target.bornMs;
    const hasTurnedCold = isSameRun && target.coldLeftMs > previous.coldLeftMs;
    if (isSameRun && !hasTurnedCold && previous.isDraining === target.isDraining) return;
    this.#options.log.report('target registered', {
      target: target.id,
      service: target.service,
      zone: target.zone,
      isDraining: target.isDraining,
      coldLeftMs: target.coldLeftMs,
    });
  }
}
