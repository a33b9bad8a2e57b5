import { expect, it } from 'vitest';
import {
  ColdLimiter,
  ManualClock,
  SeededRandom,
  TargetHolds,
  TargetPicker,
  TargetRegistry,
  type DirectTarget,
} from '../../src/index.js';
import { RankGroupFixture } from './support/RankGroupFixture.js';

const RANKS = 8;

const RELEASES = 20;

/** Longer than a target that has left may come back. */
const RELEASE_INTERVAL_MS = 130_000;

function buildFleet(release: number): DirectTarget[] {
  return Array.from({ length: RANKS }, (_, rank) => ({
    id: `${release}-${rank}`,
    service: 's',
    address: `10.0.${release}.${rank}:1`,
    zone: 'a',
    capacity: 8,
    isDraining: false,
    coldLeftMs: 10_000,
    bornMs: 1 + release,
  }));
}

function createPicker(clock: ManualClock, registry: TargetRegistry): TargetPicker {
  return new TargetPicker({
    clock,
    random: new SeededRandom(1),
    registry,
    limits: { isLimited: () => false, hasCapacity: () => true },
    holds: new TargetHolds({ clock, getDrainMs: () => 2000 }),
    coldLimiter: new ColdLimiter({
      clock,
      ownName: 'e0',
      entries: { listSharingNames: () => ['e0'], isSettled: () => true },
    }),
    countEntries: () => 1,
  });
}

function pick(picker: TargetPicker): DirectTarget | null {
  const fixture = new RankGroupFixture(new ManualClock(), RANKS);
  return picker.pick({
    service: { ...fixture.service, coldPerSecond: 100 },
    excluded: new Set(),
    gapMs: null,
    mayUseLimited: true,
    urgencyRank: 0,
    hasWaited: true,
    isLate: false,
  }).target;
}

/** Serves requests with a fleet that nobody knows yet. */
function runFleet(clock: ManualClock, picker: TargetPicker, fleet: readonly DirectTarget[]): void {
  // The first choice of a rank that has not reported is remembered as well.
  pick(picker);
  const ranks = fleet.map(({ address }) => ({ address, active: 0, queued: 0 }));
  const { bornMs } = fleet[0] as DirectTarget;
  const report = { group: `group ${bornMs}`, epoch: 1, isOpen: true, passMs: 40, isMapped: true };
  picker.handleReport({ ...report, ranks });
  for (let request = 0; request < RANKS; request += 1) {
    const target = pick(picker);
    if (target !== null) picker.getStats(target.id).recordSent(clock.getNow());
    if (target !== null) picker.getStats(target.id).recordEnd();
  }
}

// Guards against memory that grows with each target that there ever was.
it('an entry forgets the targets of a fleet that was replaced', () => {
  const clock = new ManualClock();
  const registry = new TargetRegistry(clock);
  const picker = createPicker(clock, registry);
  const remembered: number[] = [];
  for (let release = 0; release < RELEASES; release += 1) {
    const fleet = buildFleet(release);
    for (const target of fleet) registry.upsert(target);
    runFleet(clock, picker, fleet);
    registry.expire();
    picker.expire();
    remembered.push(picker.countRemembered());
    for (const { id } of fleet) registry.remove(id);
    clock.advance(RELEASE_INTERVAL_MS);
  }
  expect(remembered[0]).toBeGreaterThan(RANKS);
  expect(Math.max(...remembered)).toBe(remembered[0]);
});

// Guards against a target that is forgotten while it answers, and then seems to have no load.
it('an entry remembers a target that has left as long as it answers', () => {
  const clock = new ManualClock();
  const registry = new TargetRegistry(clock);
  const picker = createPicker(clock, registry);
  const [target] = buildFleet(1) as [DirectTarget];
  registry.upsert(target);
  picker.getStats(target.id).recordSent(clock.getNow());
  registry.remove(target.id);
  for (let round = 0; round < 2; round += 1) {
    clock.advance(RELEASE_INTERVAL_MS);
    registry.expire();
    picker.expire();
  }
  expect(picker.getStats(target.id).inFlight).toBe(1);
});
