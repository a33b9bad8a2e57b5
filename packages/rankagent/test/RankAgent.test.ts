import { afterEach, describe, expect, it } from 'vitest';
import {
  Ok,
  fail,
  type DirectTarget,
  type EngineModel,
  type RankOrder,
  type RankStatus,
} from '@limpetbay/core';
import { MetricRegistry, RealClock } from '@limpetbay/runtime';
import { SimGroup } from '@limpetbay/standins';
import { RankAgent, type RankWire } from '../src/index.js';

const SIZE = 4;
const SETS = 2;
const EXPERTS = 16;
/** Test runs beside each other must not share the addresses. */
const PEER_PORT = 20_000 + (process.pid % 20_000);
const PASS_MS = 20;
const SILENT_LOG = { report: () => {}, warn: () => {}, alert: () => {} };

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
    sets: SETS,
    count: EXPERTS,
    slotsPerRank: 6,
    spareSlots: 4,
    copyMs: 1,
    workShare: 0.8,
  },
};

/** A group of ranks in this process whose demand favours one expert of each set. */
class RankFixture {
  readonly group = new SimGroup(SIZE, 2);

  readonly lists: number[][][] = Array.from({ length: SIZE }, (_, rank) =>
    Array.from({ length: SETS }, () => [0, 1, 2, 3].map((slot) => slot * SIZE + rank)),
  );

  readonly orders: string[] = [];

  /** Expert of each set that is wanted most. */
  hotExpert = 5;

  readonly #prepared = new Map<string, number[][]>();

  readonly #counts = Array.from({ length: SIZE }, () =>
    Array.from({ length: SETS * EXPERTS }, () => 0),
  );

  advance(): void {
    const before = this.group.ranks.map(({ map }) => map);
    this.group.tick();
    for (const [rank, { map }] of this.group.ranks.entries()) {
      if (map !== before[rank]) this.lists[rank] = this.#prepared.get(`${rank}/${map}`) ?? [];
      const counts = this.#counts[rank] ?? [];
      for (let at = 0; at < counts.length; at += 1) {
        counts[at] = (counts[at] ?? 0) + (at % EXPERTS === this.hotExpert ? 3000 : 100);
      }
    }
  }

  openWire(rank: number, address: string): RankWire {
    return {
      readStatus: () => {
        const status: RankStatus = { ...this.group.readStatus(rank), address };
        return Promise.resolve(Ok(status));
      },
      readCounts: () => Promise.resolve(Ok({ counts: [...(this.#counts[rank] ?? [])] })),
      readHeld: () =>
        Promise.resolve(
          Ok({ version: this.group.ranks[rank]?.map ?? 0, sets: this.lists[rank] ?? [] }),
        ),
      order: (order: RankOrder) => {
        this.orders.push(order.operation);
        if (order.operation === 'prepare') {
          const sets = order.sets.map((ranks) => ranks[rank] ?? []);
          this.#prepared.set(`${rank}/${order.version}`, sets);
        }
        return Promise.resolve(this.group.apply(rank, order));
      },
    };
  }
}

function getHost(rank: number): string {
  return `127.0.0.${rank + 11}`;
}

async function waitUntil(isDone: () => boolean): Promise<boolean> {
  for (let tries = 0; tries < 1200; tries += 1) {
    if (isDone()) return true;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  return false;
}

describe('agents beside the ranks of a group', () => {
  const agents: RankAgent[] = [];
  let timer: NodeJS.Timeout | null = null;

  afterEach(() => {
    if (timer !== null) clearInterval(timer);
    for (const agent of agents.splice(0)) agent.stop();
  });

  async function startAgents(fixture: RankFixture, ranks: readonly number[]): Promise<void> {
    timer = setInterval(() => fixture.advance(), PASS_MS);
    const addresses = Array.from({ length: SIZE }, (_, rank) => `${getHost(rank)}:80`);
    const targets = addresses.map((address) => ({ address }) as DirectTarget);
    for (const rank of ranks) {
      const agent = new RankAgent({
        clock: new RealClock(),
        metrics: new MetricRegistry(),
        createLog: () => SILENT_LOG,
        host: getHost(rank),
        peerPort: PEER_PORT,
        rankAddress: addresses[rank] ?? '',
        openRank: (address) => fixture.openWire(addresses.indexOf(address), address),
        listTargets: () => Promise.resolve(Ok(targets)),
        readModel: () => Promise.resolve(Ok(MODEL)),
      });
      agents.push(agent);
      await agent.start();
    }
  }

  it('give the hot expert to more ranks and never run a pass with two maps', async () => {
    const fixture = new RankFixture();
    await startAgents(fixture, [0, 1, 2, 3]);
    const isSpread = await waitUntil(() => {
      const holders = fixture.lists.filter((sets) => sets[0]?.includes(5) === true);
      return holders.length >= 3;
    });
    expect(isSpread).toBe(true);
    expect(fixture.group.mixedPasses).toBe(0);
    expect(fixture.group.stalledTicks).toBeLessThan(3);
  });

  it('go on planning when the planning agent is gone', async () => {
    const fixture = new RankFixture();
    await startAgents(fixture, [0, 1, 2, 3]);
    await waitUntil(() => fixture.orders.includes('arm'));
    agents.shift()?.stop();
    // A shift of demand that only the remaining agents can answer.
    fixture.hotExpert = 9;
    const isSpread = await waitUntil(() => {
      const holders = fixture.lists.filter((sets) => sets[1]?.includes(9) === true);
      return holders.length >= 3;
    });
    expect(isSpread).toBe(true);
    const isReleased = await waitUntil(() =>
      fixture.group.ranks.every(({ held }) => held === null),
    );
    expect(isReleased).toBe(true);
    expect(fixture.group.mixedPasses).toBe(0);
  });

  it('survive a store that does not answer at first', async () => {
    const fixture = new RankFixture();
    timer = setInterval(() => fixture.advance(), PASS_MS);
    let reads = 0;
    const agent = new RankAgent({
      clock: new RealClock(),
      metrics: new MetricRegistry(),
      createLog: () => SILENT_LOG,
      host: getHost(0),
      peerPort: PEER_PORT,
      rankAddress: `${getHost(0)}:80`,
      openRank: (address) => fixture.openWire(0, address),
      listTargets: () => {
        reads += 1;
        return Promise.resolve(
          reads === 1 ? fail('store_unavailable', 'down') : Ok<DirectTarget[]>([]),
        );
      },
      readModel: () => Promise.resolve(fail('store_unavailable', 'down')),
    });
    agents.push(agent);
    await agent.start();
    expect(await waitUntil(() => reads >= 2)).toBe(true);
  });
});
