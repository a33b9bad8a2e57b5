import type { OrderAnswer, RankOrder, RankStatus } from '../../src/index.js';

interface SimRank {
  step: number;
  map: number;
  prepared: number | null;
  loading: { version: number; readyAt: number } | null;
  armed: { version: number; step: number } | null;
  held: number | null;
  highest: number;
}

/** A lock-step group that begins a pass at every tick unless a rank holds it. */
export class SimGroup {
  readonly ranks: SimRank[];

  now = 0;

  /** Passes that began while two ranks had different maps. */
  mixedPasses = 0;

  /** Ticks in a row in which a hold kept the group from its next pass. */
  stalledTicks = 0;

  readonly #loadTicks: number;

  constructor(size: number, loadTicks: number) {
    this.#loadTicks = loadTicks;
    this.ranks = Array.from({ length: size }, () => ({
      step: 0,
      map: 0,
      prepared: null,
      loading: null,
      armed: null,
      held: null,
      highest: 0,
    }));
  }

  tick(): void {
    this.now += 1;
    for (const rank of this.ranks) {
      if (rank.loading === null || rank.loading.readyAt > this.now) continue;
      rank.prepared = rank.loading.version;
      rank.loading = null;
    }
    const next = (this.ranks[0]?.step ?? 0) + 1;
    if (this.ranks.some(({ held }) => held === next)) {
      this.stalledTicks += 1;
      return;
    }
    this.stalledTicks = 0;
    for (const rank of this.ranks) {
      rank.step = next;
      if (rank.armed?.step !== next) continue;
      rank.map = rank.armed.version;
      rank.armed = null;
      rank.prepared = null;
    }
    if (new Set(this.ranks.map(({ map }) => map)).size > 1) this.mixedPasses += 1;
  }

  apply(index: number, order: RankOrder): OrderAnswer {
    const rank = this.ranks[index] as SimRank;
    switch (order.operation) {
      case 'prepare':
        return this.#prepare(rank, order.version);
      case 'arm':
        return arm(rank, order.version, order.step);
      case 'disarm':
        if (rank.map === order.version) return 'refused';
        if (rank.armed?.version === order.version) rank.armed = null;
        return 'done';
      case 'hold':
        if (rank.held === order.step) return 'done';
        if (rank.held !== null || order.step <= rank.step) return 'refused';
        rank.held = order.step;
        return 'done';
      default:
        if (rank.held === order.step) rank.held = null;
        return 'done';
    }
  }

  readStatus(index: number): RankStatus {
    const rank = this.ranks[index] as SimRank;
    return {
      address: `10.0.0.${index}:1`,
      group: 'g',
      epoch: 1,
      rank: index,
      size: this.ranks.length,
      isOpen: true,
      active: 0,
      queued: 0,
      kvUsed: 0,
      kvTotal: 1,
      step: rank.step,
      map: rank.map,
      prepared: rank.prepared,
      armed: rank.armed,
      held: rank.held,
      isBusy: rank.loading !== null,
      passMs: 1,
    };
  }

  #prepare(rank: SimRank, version: number): OrderAnswer {
    if (rank.prepared === version || rank.loading?.version === version) return 'done';
    if (version <= rank.highest || rank.armed !== null) return 'refused';
    rank.highest = version;
    rank.prepared = null;
    rank.loading = { version, readyAt: this.now + this.#loadTicks };
    return 'done';
  }
}

function arm(rank: SimRank, version: number, step: number): OrderAnswer {
  if (rank.armed?.version === version && rank.armed.step === step) return 'done';
  if (rank.armed !== null || rank.prepared !== version || step <= rank.step) return 'refused';
  rank.armed = { version, step };
  return 'done';
}
