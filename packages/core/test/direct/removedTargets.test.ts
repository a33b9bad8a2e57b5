import { expect, it } from 'vitest';
import { ManualClock, TargetRegistry, type DirectTarget } from '../../src/index.js';

const DRAIN_MS = 2000;

/** Time between two events; three of them are shorter than the time to drain. */
const EVENT_GAP_MS = 600;

const STEP_MS = 100;

const EVENTS_IN_ORDER = 5;

/** From the last event on, longer than any time for which a target is kept. */
const AFTER_MS = 6000;

const TARGET: DirectTarget = {
  id: 'x',
  service: 's',
  address: '10.0.0.1:80',
  zone: 'a',
  capacity: 8,
  isDraining: false,
  coldLeftMs: 0,
  bornMs: 1000,
};

const OTHER: DirectTarget = { ...TARGET, id: 'other', address: '10.0.0.2:80' };

/** What happens to a registry, and for how long the target may be used from then on. */
const EVENTS: readonly {
  readonly name: string;
  readonly maxUseMs: number;
  readonly apply: (registry: TargetRegistry) => void;
}[] = [
  { name: 'outage', maxUseMs: Infinity, apply: (registry) => registry.setStoreUnavailable(true) },
  { name: 'return', maxUseMs: Infinity, apply: (registry) => registry.setStoreUnavailable(false) },
  { name: 'odd record', maxUseMs: Infinity, apply: (registry) => registry.retain('x') },
  { name: 'removal', maxUseMs: DRAIN_MS, apply: (registry) => void registry.remove('x') },
  { name: 'full read', maxUseMs: DRAIN_MS, apply: (registry) => registry.replaceAll([OTHER]) },
  { name: 'restoration', maxUseMs: Infinity, apply: (registry) => registry.restore([OTHER]) },
];

/** Lists all orders of `count` events. */
function listOrders(count: number): (typeof EVENTS)[] {
  if (count === 0) return [[]];
  const orders: (typeof EVENTS)[] = [];
  for (const order of listOrders(count - 1)) {
    for (const event of EVENTS) orders.push([...order, event]);
  }
  return orders;
}

/**
 * Returns for how long a target was in use after it should have ended, milliseconds; Infinity if it
 * is still in use long after the store has returned.
 */
function measureExcess(order: typeof EVENTS): number {
  const clock = new ManualClock();
  const registry = new TargetRegistry(clock, () => DRAIN_MS);
  registry.upsert(TARGET);
  registry.upsert(OTHER);
  let endMs = Infinity;
  let lastUseMs = -Infinity;
  const advance = (ms: number): void => {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      clock.advance(STEP_MS);
      if (registry.get('x') !== undefined) lastUseMs = clock.getNow();
    }
  };
  for (const { maxUseMs, apply } of order) {
    apply(registry);
    endMs = Math.min(endMs, clock.getNow() + maxUseMs);
    advance(EVENT_GAP_MS);
  }
  advance(AFTER_MS);
  registry.setStoreUnavailable(false);
  for (let passedMs = 0; passedMs < AFTER_MS; passedMs += EVENT_GAP_MS) {
    registry.expire();
    advance(EVENT_GAP_MS);
  }
  return registry.get('x') === undefined ? lastUseMs - endMs : Infinity;
}

// Guards against a target in use for longer than it serves, whatever happens to the store meanwhile.
it('a target whose removal was learned is not used after it has drained, in any order of events', () => {
  const orders = listOrders(EVENTS_IN_ORDER).filter((order) =>
    order.some(({ name }) => name !== 'outage' && name !== 'return'),
  );
  const exceeded: string[] = [];
  for (const order of orders) {
    const excessMs = measureExcess(order);
    if (excessMs >= 0) exceeded.push(`${order.map(({ name }) => name).join()}: ${excessMs} ms`);
  }
  expect(orders).toHaveLength(7744);
  expect(exceeded).toEqual([]);
});
