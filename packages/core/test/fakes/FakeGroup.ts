import { ManualClock, Ok, PlannerRole, RankRole, fail, packLayer } from '@limpetbay/core';
import type {
  EngineControl,
  ExpertCountSource,
  Failure,
  GroupPeers,
  Incarnation,
  PlannerListener,
  Result,
  StepGrant,
} from '@limpetbay/core';
import { FakeStore } from './FakeStore.js';

interface FakeEngine extends EngineControl {
  until: number;
  /** Versions sent to the engine, and the first step of each. */
  readonly maps: { readonly version: number; readonly boundary: number }[];
}

const RANKS = 4;
const EXPERTS = 16;
const BALANCED_COUNTS = Array.from({ length: EXPERTS }, () => 1000);
const COST = {
  bytesPerCopy: 1e6,
  weightBytesPerSecond: 1e8,
  lossPerLoadSecond: 0.1,
  stallSeconds: 0,
  expertShare: 0.5,
  maxLoadsPerRank: 2,
};

/** Four ranks and any number of planners with a fake store, run in lock-step by `runSteps`. */
export class FakeGroup {
  readonly clock = new ManualClock();

  readonly store = new FakeStore(this.clock);

  readonly engines: FakeEngine[] = [];

  readonly ranks: RankRole[] = [];

  /** Ranks to which calls fail. */
  readonly unreachable = new Set<number>();

  /** Whether replies to promise requests from the last rank are dropped. */
  dropsLastPromise = false;

  counts = BALANCED_COUNTS;

  /** Decisions reported by the planners: version and status. */
  readonly decisions: string[] = [];

  step = 0;

  stalledSteps = 0;

  /** Number of times that a planner yielded to other events. */
  yields = 0;

  /** Steps that ran with more than one map version. */
  mixedSteps = 0;

  readonly #peers: GroupPeers = {
    prepare: (rank, request) => this.#call(rank, (role) => role.handlePrepare(request)),
    promise: async (rank, record) => {
      const reply = await this.#call(rank, (role) => role.handlePromiseRequest(record));
      return this.dropsLastPromise && rank === RANKS - 1 ? fail('timed_out', 'no answer') : reply;
    },
    sendDecision: (rank, record) => this.#call(rank, (role) => role.handleDecision(record)),
    requestRecovery: (rank, asker) =>
      this.#call(rank, (role) => role.handleRecoveryRequest(asker.rank, asker.incarnation)),
  };

  constructor() {
    for (let rank = 0; rank < RANKS; rank += 1) {
      this.engines.push(FakeGroup.#createEngine());
      this.restartRank(rank);
    }
  }

  static #createEngine(): FakeEngine {
    return {
      until: -1,
      maps: [],
      loadWeights: async () => Ok(undefined),
      async grant(grant: StepGrant) {
        this.until = Math.max(this.until, grant.until);
        return Ok(undefined);
      },
      async switchMap(map, boundary) {
        this.maps.push({ version: map.version, boundary });
        return Ok(undefined);
      },
    };
  }

  /** @param layers number of layers of the map; all have the same counts */
  createPlanner(holder: string, layers = 1): PlannerRole {
    const countSource: ExpertCountSource = {
      read: async () =>
        Ok({
          layers: Array.from({ length: layers }, () => this.counts),
          endMs: this.clock.getNow(),
        }),
    };
    const options = {
      group: 'g0',
      ranks: RANKS,
      holder,
      leaseTtlMs: 4000,
      leadSteps: 20,
      patienceMs: 500,
      loadTimeoutMs: 5000,
      cost: COST,
      firstMap: {
        version: 1,
        layers: Array.from({ length: layers }, () => packLayer(BALANCED_COUNTS, RANKS, 6)),
      },
      pause: async () => {
        this.yields += 1;
      },
    };
    const listener: PlannerListener = {
      onChoice: () => undefined,
      onDecision: (record) => this.decisions.push(`${record.map.version} ${record.status}`),
    };
    return new PlannerRole(options, this.clock, this.store, this.#peers, countSource, listener);
  }

  restartRank(rank: number): void {
    const engine = this.engines[rank];
    if (engine === undefined) return;
    const options = {
      group: 'g0',
      rank,
      ranks: RANKS,
      window: 10,
      patienceMs: 500,
      stepTimeMs: 50,
      incarnation: (this.clock.getNow() + 1) as Incarnation,
      engineStep: this.step,
    };
    this.ranks[rank] = new RankRole(options, this.clock, this.store, this.#peers, engine);
  }

  /** Runs steps of 50 ms each; the planners and ranks tick once per step. */
  async runSteps(count: number, planners: readonly PlannerRole[] = []): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      this.clock.advance(50);
      for (const planner of planners) await planner.tick();
      for (const role of this.ranks) await role.tick();
      // Background calls of a tick complete within the duration of a step.
      await new Promise(setImmediate);
      if (this.engines.some((engine) => engine.until < this.step)) {
        this.stalledSteps += 1;
        continue;
      }
      const versions = this.engines.map((engine) => this.#getVersion(engine));
      if (new Set(versions).size > 1) this.mixedSteps += 1;
      this.step += 1;
      for (const role of this.ranks) role.handleStep(this.step);
    }
  }

  getVersion(): number {
    const [engine] = this.engines;
    return engine === undefined ? -1 : this.#getVersion(engine);
  }

  #getVersion(engine: FakeEngine): number {
    let version = -1;
    for (const entry of engine.maps) {
      if (entry.boundary <= this.step) version = Math.max(version, entry.version);
    }
    return version;
  }

  async #call<T>(rank: number, handle: (role: RankRole) => T): Promise<Result<T, Failure>> {
    const role = this.ranks[rank];
    if (role === undefined || this.unreachable.has(rank)) return fail('timed_out', 'no answer');
    return Ok(handle(role));
  }
}
