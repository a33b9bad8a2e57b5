import { afterEach, describe, expect, it } from 'vitest';
import {
  BodyBudget,
  ManualClock,
  Ok,
  fail,
  type DirectTarget,
  type EngineModel,
  type RankOrder,
  type RankStatus,
} from '@limpetbay/core';
import { MetricRegistry, RealClock, createAddressBinder, type Log } from '@limpetbay/runtime';
import { PeerSocket, decodeLoads } from '@limpetbay/rpc';
import { SimGroup } from '@limpetbay/standins';
import { RankAgent, SocketNetwork, type RankAgentOptions, type RankControl } from '../src/index.js';

const GROUP_SIZE = 4;
const SET_COUNT = 2;
const EXPERT_COUNT = 16;
/** Differs between test runs, because the host addresses are the same in all of them. */
const PEER_PORT = 20_000 + (process.pid % 20_000);
const PASS_MS = 20;
const BODY_BUDGET_BYTES = 33_554_432;
const NOOP_LOG = { report: () => {}, warn: () => {}, alert: () => {} };

function createTestLog(warnings: string[]): Log {
  return { ...NOOP_LOG, warn: (sentence) => warnings.push(sentence) };
}

const MODEL: EngineModel = {
  capacity: 8,
  stepMs: 1,
  perSequenceMs: 1,
  contextMsPerThousand: 0,
  prefillTokensPerSecond: 1000,
  chunkTokens: 100,
  stride: 1,
  kvCapacity: 1000,
  usualPromptTokens: 100,
  usualAnswerTokens: 10,
  experts: {
    sets: SET_COUNT,
    count: EXPERT_COUNT,
    slotsPerRank: 6,
    spareSlots: 4,
    copyMs: 1,
    workShare: 0.8,
  },
};

/** Simulated group of ranks whose demand favours one expert of each set. */
class RankFixture {
  readonly group = new SimGroup(GROUP_SIZE, 2);

  readonly experts: number[][][] = Array.from({ length: GROUP_SIZE }, (_, rank) =>
    createInitialExperts(rank),
  );

  readonly orders: string[] = [];

  /** Expert that is chosen most often in each set. */
  hotExpert = 5;

  /** Rank that each agent serves. */
  rankByAgent = Array.from({ length: GROUP_SIZE }, (_, rank) => rank);

  /** Whether the counts and the experts of a rank can be read. */
  isReadable = true;

  readonly #prepared = new Map<string, number[][]>();

  readonly #counts = Array.from({ length: GROUP_SIZE }, () =>
    Array.from({ length: SET_COUNT * EXPERT_COUNT }, () => 0),
  );

  advance(): void {
    if (!this.group.isOpen) return;
    const oldMaps = this.group.ranks.map(({ map }) => map);
    this.group.tick();
    for (const [rank, { map }] of this.group.ranks.entries()) {
      if (map !== oldMaps[rank]) this.experts[rank] = this.#prepared.get(`${rank}/${map}`) ?? [];
      const counts = this.#counts[rank] ?? [];
      for (let index = 0; index < counts.length; index += 1) {
        counts[index] =
          (counts[index] ?? 0) + (index % EXPERT_COUNT === this.hotExpert ? 3000 : 100);
      }
    }
  }

  /** Forms the group again with its initial map; each agent may serve another rank. */
  restart(rankByAgent: readonly number[]): void {
    this.rankByAgent = [...rankByAgent];
    this.group.restart();
    for (const rank of this.experts.keys()) this.experts[rank] = createInitialExperts(rank);
    this.#prepared.clear();
    for (const counts of this.#counts) counts.fill(0);
  }

  openRank(agent: number, address: string): RankControl {
    const getRank = (): number => this.rankByAgent[agent] ?? 0;
    return {
      readStatus: () => {
        const status: RankStatus = { ...this.group.readStatus(getRank()), address };
        return Promise.resolve(Ok(status));
      },
      readCounts: () =>
        Promise.resolve(
          this.isReadable
            ? Ok({ counts: [...(this.#counts[getRank()] ?? [])] })
            : fail('outcome_unknown', 'no counts'),
        ),
      readHeld: () => {
        const rank = getRank();
        return Promise.resolve(
          this.isReadable
            ? Ok({
                version: this.group.ranks[rank]?.map ?? 0,
                sets: this.experts[rank] ?? [],
              })
            : fail('outcome_unknown', 'no experts'),
        );
      },
      order: (order: RankOrder, epoch: number) => {
        const rank = getRank();
        if (epoch !== this.group.epoch) return Promise.resolve('refused');
        this.orders.push(order.operation);
        if (order.operation === 'prepare') {
          const sets = order.sets.map((ranks) => ranks[rank] ?? []);
          this.#prepared.set(`${rank}/${order.version}`, sets);
        }
        return Promise.resolve(this.group.apply(rank, order));
      },
    };
  }

  countHolders(set: number, expert: number): number {
    return this.experts.filter((sets) => sets[set]?.includes(expert) === true).length;
  }
}

function createInitialExperts(rank: number): number[][] {
  return Array.from({ length: SET_COUNT }, () =>
    [0, 1, 2, 3].map((slot) => slot * GROUP_SIZE + rank),
  );
}

function getHost(rank: number): string {
  return `127.0.0.${rank + 11}`;
}

async function waitUntil(isDone: () => boolean): Promise<boolean> {
  for (let attempts = 0; attempts < 1200; attempts += 1) {
    if (isDone()) return true;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  return false;
}

describe('RankAgent', () => {
  const agents: RankAgent[] = [];
  const warnings: string[] = [];
  let timer: NodeJS.Timeout | null = null;

  afterEach(() => {
    if (timer !== null) clearInterval(timer);
    timer = null;
    for (const agent of agents.splice(0)) agent.stop();
    warnings.length = 0;
  });

  async function startAgent(
    fixture: RankFixture,
    rank: number,
    changes: Partial<RankAgentOptions> = {},
  ): Promise<void> {
    timer ??= setInterval(() => fixture.advance(), PASS_MS);
    const addresses = Array.from({ length: GROUP_SIZE }, (_, index) => `${getHost(index)}:80`);
    const targets = addresses.map((address) => ({ address }) as DirectTarget);
    const agent = new RankAgent({
      clock: new RealClock(),
      metrics: new MetricRegistry(),
      createLog: () => createTestLog(warnings),
      network: new SocketNetwork({
        clock: new RealClock(),
        binder: createAddressBinder(new RealClock(), NOOP_LOG, new MetricRegistry()),
        host: getHost(rank),
        port: PEER_PORT,
        bodyBudget: new BodyBudget(BODY_BUDGET_BYTES, new RealClock()),
      }),
      peerPort: PEER_PORT,
      linkBitsPerSecond: 100_000_000,
      rankAddress: addresses[rank] ?? '',
      openRank: (address) => fixture.openRank(addresses.indexOf(address), address),
      listTargets: () => Promise.resolve(Ok(targets)),
      readModel: () => Promise.resolve(Ok(MODEL)),
      ...changes,
    });
    agents.push(agent);
    await agent.start();
  }

  async function startAgents(fixture: RankFixture, ranks: readonly number[]): Promise<void> {
    for (const rank of ranks) await startAgent(fixture, rank);
  }

  it('places the hot expert on more ranks and runs no pass with two maps', async () => {
    const fixture = new RankFixture();
    await startAgents(fixture, [0, 1, 2, 3]);
    const isSpread = await waitUntil(() => fixture.countHolders(0, 5) >= 3);
    expect(isSpread).toBe(true);
    expect(fixture.group.mixedPasses).toBe(0);
    expect(fixture.group.stalledTicks).toBeLessThan(3);
  });

  // Guards against an agent that runs on but does nothing after one error in its loop.
  it('continues with the next round after an error in one', async () => {
    const fixture = new RankFixture();
    let calls = 0;
    await startAgents(fixture, [1, 2, 3]);
    await startAgent(fixture, 0, {
      openRank: (address) => {
        const rank = fixture.openRank(
          [0, 1, 2, 3].map(getHost).indexOf(address.split(':')[0]!),
          address,
        );
        return {
          ...rank,
          readStatus: () => {
            calls += 1;
            if (calls <= 3) throw new Error('odd status');
            return rank.readStatus();
          },
        };
      },
    });
    expect(await waitUntil(() => fixture.countHolders(0, 5) >= 3)).toBe(true);
    expect(calls).toBeGreaterThan(3);
  });

  it('continues planning after the planning agent stopped', async () => {
    const fixture = new RankFixture();
    await startAgents(fixture, [0, 1, 2, 3]);
    await waitUntil(() => fixture.orders.includes('arm'));
    agents.shift()?.stop();
    // Demand shifts after the planning agent stopped, so another agent must plan the next map.
    fixture.hotExpert = 9;
    const isSpread = await waitUntil(() => fixture.countHolders(1, 9) >= 3);
    expect(isSpread).toBe(true);
    const isReleased = await waitUntil(() =>
      fixture.group.ranks.every(({ held }) => held === null),
    );
    expect(isReleased).toBe(true);
    expect(fixture.group.mixedPasses).toBe(0);
  });

  // Guards against a group that keeps its map because one agent cannot derive the next one.
  it('sends the whole map to an agent that restarted and knows no earlier one', async () => {
    const fixture = new RankFixture();
    await startAgents(fixture, [0, 1, 2, 3]);
    await waitUntil(() => fixture.countHolders(0, 5) >= 3);
    agents.pop()?.stop();
    await startAgent(fixture, 3);
    fixture.hotExpert = 9;
    expect(await waitUntil(() => fixture.countHolders(1, 9) >= 3)).toBe(true);
    expect(fixture.group.mixedPasses).toBe(0);
  });

  it('plans for a group that restarted with its ranks at other agents', async () => {
    const fixture = new RankFixture();
    await startAgents(fixture, [0, 1, 2, 3]);
    await waitUntil(() => fixture.countHolders(0, 5) >= 3);
    fixture.restart([3, 2, 1, 0]);
    fixture.hotExpert = 9;
    expect(await waitUntil(() => fixture.countHolders(1, 9) >= 3)).toBe(true);
    expect(fixture.group.mixedPasses).toBe(0);
  });

  it('reports to subscribers at once that their group is closed or has formed', async () => {
    const fixture = new RankFixture();
    fixture.group.isOpen = false;
    await startAgents(fixture, [0, 1, 2, 3]);
    // Long enough for the agents to leave the shorter first intervals.
    await new Promise((resolve) => {
      setTimeout(resolve, 1000);
    });
    const states = new Map<string, boolean>();
    const subscriber = new PeerSocket({
      host: getHost(GROUP_SIZE),
      port: PEER_PORT,
      onMessage: (message) => {
        if (message.kind !== 'load') return;
        const { isOpen } = message.report;
        for (const { address } of decodeLoads(message.ranks)) states.set(address, isOpen);
      },
      onInvalid: () => {},
      onError: () => {},
    });
    await subscriber.bind();
    const agentAddresses = [0, 1, 2, 3].map((rank) => `${getHost(rank)}:${PEER_PORT}`);
    const startMs = performance.now();
    subscriber.send({ kind: 'subscribe' }, agentAddresses);
    await waitUntil(() => states.size === GROUP_SIZE);
    const firstMs = performance.now() - startMs;
    fixture.restart([0, 1, 2, 3]);
    const formedMs = performance.now();
    await waitUntil(() => [...states.values()].every((isOpen) => isOpen));
    const openMs = performance.now() - formedMs;
    await waitUntil(() => fixture.orders.includes('prepare'));
    const planMs = performance.now() - formedMs;
    subscriber.close();
    // The caller of a request that waits for the group cancels after 2 s; two passes take 0.2 s.
    expect(firstMs).toBeLessThan(200);
    expect(openMs).toBeLessThan(250);
    expect(planMs).toBeLessThan(700);
  });

  it('warns if counts or experts cannot be read', async () => {
    const fixture = new RankFixture();
    fixture.isReadable = false;
    await startAgents(fixture, [0, 1, 2, 3]);
    const isReported = await waitUntil(
      () =>
        warnings.includes('could not read the expert counts; trying again') &&
        warnings.includes('could not read the experts of a rank; trying again'),
    );
    expect(isReported).toBe(true);
  });

  it('opens each rank once for any number of orders', async () => {
    const fixture = new RankFixture();
    const opened: string[] = [];
    await startAgents(fixture, [1, 2, 3]);
    await startAgent(fixture, 0, {
      openRank: (address) => {
        opened.push(address);
        return fixture.openRank(Number(address.split('.')[3]?.split(':')[0]) - 11, address);
      },
    });
    await waitUntil(() => fixture.countHolders(0, 5) >= 3);
    expect(opened.length).toBe(GROUP_SIZE);
    expect(new Set(opened).size).toBe(GROUP_SIZE);
  });

  it('keeps the engine model while the store is unavailable', async () => {
    const clock = new ManualClock();
    let reads = 0;
    await startAgent(new RankFixture(), 0, {
      clock,
      listTargets: () => Promise.resolve(Ok<DirectTarget[]>([])),
      readModel: () => {
        reads += 1;
        return Promise.resolve(reads === 1 ? Ok(MODEL) : fail('store_unavailable', 'down'));
      },
    });
    await waitUntil(() => reads === 1);
    clock.advance(30_001);
    expect(await waitUntil(() => reads === 2)).toBe(true);
    clock.advance(20_000);
    await new Promise((resolve) => {
      setTimeout(resolve, 1000);
    });
    expect(reads).toBe(2);
  });

  it('reads the targets again after the store failed at startup', async () => {
    let reads = 0;
    await startAgent(new RankFixture(), 0, {
      listTargets: () => {
        reads += 1;
        return Promise.resolve(
          reads === 1 ? fail('store_unavailable', 'down') : Ok<DirectTarget[]>([]),
        );
      },
      readModel: () => Promise.resolve(fail('store_unavailable', 'down')),
    });
    expect(await waitUntil(() => reads >= 2)).toBe(true);
  });

  // Guards against an agent that stops reading its rank or the list of targets after one exception.
  it('reads its rank, the targets and the model again after each of them threw', async () => {
    const fixture = new RankFixture();
    const reads = { status: 0, targets: 0, model: 0 };
    await startAgent(fixture, 0, {
      openRank: (address) => {
        const rank = fixture.openRank(0, address);
        return {
          ...rank,
          readStatus: async () => {
            reads.status += 1;
            if (reads.status === 2) throw new Error('a fault');
            return rank.readStatus();
          },
        };
      },
      listTargets: async () => {
        reads.targets += 1;
        if (reads.targets === 1) throw new Error('a fault');
        return Promise.resolve(Ok<DirectTarget[]>([]));
      },
      readModel: async () => {
        reads.model += 1;
        if (reads.model === 1) throw new Error('a fault');
        return Promise.resolve(Ok(MODEL));
      },
    });
    const hasRead = await waitUntil(() => reads.status > 3 && reads.targets > 1 && reads.model > 1);
    expect(hasRead, JSON.stringify(reads)).toBe(true);
  });
});
