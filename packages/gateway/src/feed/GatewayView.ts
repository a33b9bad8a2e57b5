import {
  EntryRecord,
  RouteTable,
  type Clock,
  type DirectTarget,
  type EntryDirectory,
  type StoreRecord,
  type TargetPicker,
  type TargetRegistry,
} from '@limpetbay/core';
import type { Log } from '@limpetbay/runtime';
import type { MirrorListener } from './MirrorListener.js';
import type { RecordLayout } from './RecordLayout.js';

interface ViewParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly layout: RecordLayout;
  readonly registry: TargetRegistry;
  readonly entries: EntryDirectory;
  readonly picker: TargetPicker;
  readonly onConfig: (table: RouteTable) => void;
}

/** What an entry knows from the store: configuration, zones out of service, targets, entries. */
export class GatewayView implements MirrorListener {
  readonly #parts: ViewParts;

  readonly #evacuated = new Set<string>();

  #table: RouteTable | null = null;

  #hasTargets = false;

  constructor(parts: ViewParts) {
    this.#parts = parts;
  }

  getTable(): RouteTable | null {
    return this.#table;
  }

  /** Whether configuration and targets have been read once. */
  isComplete(): boolean {
    return this.#table !== null && this.#hasTargets;
  }

  acceptAll(records: readonly StoreRecord[]): void {
    const { layout, registry, entries } = this.#parts;
    const targets: DirectTarget[] = [];
    const known: EntryRecord[] = [];
    this.#evacuated.clear();
    for (const record of records) {
      if (record.key.startsWith(layout.targetPrefix)) {
        const target = this.#decodeTarget(record);
        if (target !== null) targets.push(target);
      } else if (record.key.startsWith(layout.entryPrefix)) {
        const entry = this.#decodeEntry(record);
        if (entry !== null) known.push(entry);
      } else this.acceptRecord(record);
    }
    registry.replace(targets);
    entries.replace(known);
    this.#hasTargets = true;
    this.#parts.picker.setEvacuated(this.#evacuated);
    this.#parts.log.report('view read', {
      targets: targets.length,
      entries: known.length,
      zonesOut: [...this.#evacuated],
      config: this.#table?.config.version,
    });
  }

  acceptRecord(record: StoreRecord): void {
    const { layout, registry, entries } = this.#parts;
    if (record.key === layout.configKey) this.#acceptConfig(record);
    else if (record.key.startsWith(layout.evacuationPrefix)) {
      const zone = record.key.slice(layout.evacuationPrefix.length);
      this.#evacuated.add(zone);
      this.#parts.log.report('zone out of service', { zone, revision: record.revision });
    } else if (record.key.startsWith(layout.targetPrefix)) {
      const target = this.#decodeTarget(record);
      if (target === null) return;
      this.#reportTarget(target);
      registry.accept(target);
    } else if (record.key.startsWith(layout.entryPrefix)) {
      const entry = this.#decodeEntry(record);
      if (entry !== null) entries.accept(entry);
    }
  }

  acceptRemoval(key: string): void {
    const { layout, registry, entries, log } = this.#parts;
    if (key.startsWith(layout.evacuationPrefix)) {
      const zone = key.slice(layout.evacuationPrefix.length);
      this.#evacuated.delete(zone);
      log.report('zone back in service', { zone });
    } else if (key.startsWith(layout.targetPrefix)) {
      const id = key.slice(layout.targetPrefix.length);
      log.report('target registration gone', { target: id });
      registry.remove(id);
    } else if (key.startsWith(layout.entryPrefix)) {
      const name = key.slice(layout.entryPrefix.length);
      log.report('entry gone', { entry: name });
      entries.remove(name);
    }
  }

  setStoreAway(isAway: boolean): void {
    this.#parts.registry.setStoreAway(isAway);
  }

  #acceptConfig(record: StoreRecord): void {
    const { layout, log, onConfig } = this.#parts;
    const decoded = layout.decodeConfig(record.value);
    if (decoded.err) {
      log.warn('configuration ignored', { revision: record.revision, cause: decoded.val.message });
      return;
    }
    const { version } = decoded.val;
    const knownVersion = this.#table?.config.version ?? -1;
    if (version <= knownVersion) return;
    this.#table = new RouteTable(decoded.val);
    log.report('configuration in force', {
      version,
      was: knownVersion,
      revision: record.revision,
      routes: decoded.val.routes.length,
    });
    onConfig(this.#table);
  }

  #decodeTarget(record: StoreRecord): DirectTarget | null {
    const id = record.key.slice(this.#parts.layout.targetPrefix.length);
    const decoded = this.#parts.layout.decodeTarget(id, record.value);
    if (decoded.ok) return decoded.val;
    this.#parts.log.warn('target registration ignored', { id, cause: decoded.val.message });
    return null;
  }

  #decodeEntry(record: StoreRecord): EntryRecord | null {
    try {
      return EntryRecord.parse(JSON.parse(record.value));
    } catch (error) {
      const cause = (error as Error).message;
      this.#parts.log.warn('entry registration ignored', { key: record.key, cause });
      return null;
    }
  }

  #reportTarget(target: DirectTarget): void {
    const known = this.#parts.registry.get(target.id);
    if (known?.isDraining === target.isDraining && known.bornMs === target.bornMs) return;
    this.#parts.log.report('target registered', {
      target: target.id,
      service: target.service,
      zone: target.zone,
      isDraining: target.isDraining,
      coldLeftMs: target.coldLeftMs,
    });
  }
}
