import {
  ColdLimiter,
  SeededRandom,
  TargetHolds,
  TargetPicker,
  TargetRegistry,
  type Clock,
  type DirectService,
  type EngineModel,
  type GroupReport,
  type RankLoad,
} from '../../../src/index.js';

const ENGINE: EngineModel = {
  capacity: 8,
  stepMs: 4,
  perSequenceMs: 1,
  contextMsPerThousand: 0,
  prefillTokensPerSecond: 60_000,
  chunkTokens: 512,
  stride: 4,
  kvCapacity: 100_000,
  usualPromptTokens: 800,
  usualAnswerTokens: 96,
  experts: { sets: 6, count: 64, slotsPerRank: 11, spareSlots: 4, copyMs: 148, workShare: 0.85 },
};

/** One group of model ranks as several entries see it; the id of a target is its rank. */
export class RankGroupFixture {
  readonly service: DirectService = {
    name: 's',
    maxConnections: 100,
    coldPerSecond: 0,
    engine: ENGINE,
  };

  readonly engine = ENGINE;

  readonly #clock: Clock;

  readonly #rankCount: number;

  constructor(clock: Clock, ranks: number) {
    this.#clock = clock;
    this.#rankCount = ranks;
  }

  /** Creates the picker of one entry. @param entries number of entries that share the group */
  createPicker(entries: number, seed = 3): TargetPicker {
    const registry = new TargetRegistry(this.#clock);
    for (let rank = 0; rank < this.#rankCount; rank += 1) {
      registry.upsert({
        id: String(rank),
        service: this.service.name,
        address: `10.0.0.${rank}:1`,
        zone: 'a',
        capacity: ENGINE.capacity,
        isDraining: false,
        coldLeftMs: 0,
        bornMs: 1,
      });
    }
    return new TargetPicker({
      clock: this.#clock,
      random: new SeededRandom(seed),
      registry,
      limits: { isLimited: () => false, hasCapacity: () => true },
      holds: new TargetHolds({ clock: this.#clock, getDrainMs: () => 2000 }),
      coldLimiter: new ColdLimiter({
        clock: this.#clock,
        ownName: 'e0',
        entries: { listSharingNames: () => ['e0'], isSettled: () => true },
      }),
      countEntries: () => entries,
    });
  }

  /** Builds a report of an open, idle group. @param countActive requests in the batch of a rank */
  createReport(
    changes: Partial<GroupReport> = {},
    countActive: (rank: number) => number = () => 0,
  ): GroupReport {
    const ranks: RankLoad[] = Array.from({ length: this.#rankCount }, (_, rank) => ({
      address: `10.0.0.${rank}:1`,
      active: countActive(rank),
      queued: 0,
    }));
    return { group: 'g', epoch: 1, isOpen: true, passMs: 0, isMapped: false, ranks, ...changes };
  }
}
