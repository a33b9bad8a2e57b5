import {
  InstanceRecord,
  SeededRandom,
  ServiceDocument,
  encodeStoredDocument,
  type RandomSource,
} from '@limpetbay/core';
import { SimulatedProcess } from './SimulatedProcess.js';
import { SimulatedStore } from './SimulatedStore.js';
import { Timeline } from './Timeline.js';

interface FleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly agents: number;
  readonly zones: number;
}

const SERVICE = 'canerota';
const ZONES_PER_REGION = 3;
const SAME_ZONE_MS = 1;
const SAME_REGION_MS = 2;
const OTHER_REGION_MS = 40;
const WARM_UP_MS = 6000;
const RANKS = 256;

/** The processes of a fleet with the store that they follow. */
export class SimulatedFleet {
  readonly timeline = new Timeline();

  readonly store: SimulatedStore;

  readonly random: RandomSource;

  readonly #processes = new Map<string, SimulatedProcess>();

  readonly #records: InstanceRecord[] = [];

  #writes = 0;

  #cutZone: string | null = null;

  #revision = 0;

  #documentBytes = 0;

  #starts = 0;

  constructor(options: FleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.store = new SimulatedStore(this.timeline, this.random);
    const { entries, agents, zones } = options;
    for (let index = 0; index < entries + agents; index += 1) {
      const isEntry = index < entries;
      const name = isEntry ? `entry-${index}` : `agent-${index - entries}`;
      this.#records.push(
        InstanceRecord.parse({
          id: name,
          role: isEntry ? 'entry' : 'agent',
          zone: `z${index % zones}`,
          address: `10.0.${index >> 8}.${index & 255}:7000`,
          ...(isEntry ? {} : { target: `${SERVICE}-${index - entries}` }),
          state: 'live',
        }),
      );
    }
    this.write();
    for (const record of this.#records) this.start(record);
    this.timeline.advance(WARM_UP_MS);
  }

  /** Writes the next document, as an accept does. @returns its revision */
  write(): number {
    this.#writes += 1;
    const document = ServiceDocument.parse({
      service: { name: SERVICE, kind: 'model' },
      zones: { in: ['z0', 'z1'] },
      targets: { include: [`${SERVICE}-*`] },
      groups: [
        {
          name: `${SERVICE}-g0`,
          ranks: Array.from({ length: RANKS }, (_, rank) => `${SERVICE}-${rank}`),
        },
      ],
      ramp: {},
      limits: { queue: this.#writes },
      keys: {},
    });
    const value = encodeStoredDocument(document, `write-${this.#writes}`);
    this.#documentBytes = value.length;
    this.#revision = this.store.write(SERVICE, value);
    return this.#revision;
  }

  /** Returns the revision of the last write. */
  getRevision(): number {
    return this.#revision;
  }

  /** Returns the size of a document in the store. */
  getDocumentBytes(): number {
    return this.#documentBytes;
  }

  /** Starts or restarts a process. */
  start(record: InstanceRecord): SimulatedProcess {
    this.#starts += 1;
    const process = new SimulatedProcess({
      timeline: this.timeline,
      random: this.random,
      store: this.store,
      record,
      sequence: this.#starts,
      listInstances: () => this.#records,
      findProcess: (id) => this.#processes.get(id),
      isConnected: (zone, other) => {
        if (this.#cutZone === null || zone === other) return true;
        return zone !== this.#cutZone && other !== this.#cutZone;
      },
      pickLatency: (from, to) => this.#pickLatency(from, to),
    });
    this.#processes.set(record.id, process);
    return process;
  }

  /** Drops everything between a zone and the rest, the store included; null ends it. */
  setPartition(zone: string | null): void {
    this.#cutZone = zone;
  }

  /** Lists the running processes. */
  listRunning(): SimulatedProcess[] {
    return [...this.#processes.values()].filter((process) => process.isRunning);
  }

  /** Lists the processes that are relays. */
  listRelays(): SimulatedProcess[] {
    return this.listRunning().filter((process) => process.node.follower.isRelay());
  }

  #pickLatency(from: string, to: string): number {
    const readRegion = (zone: string): number =>
      Math.floor(Number(zone.slice(1)) / ZONES_PER_REGION);
    let baseMs = OTHER_REGION_MS;
    if (from === to) baseMs = SAME_ZONE_MS;
    else if (readRegion(from) === readRegion(to)) baseMs = SAME_REGION_MS;
    return baseMs * (1 + this.random.next());
  }
}
