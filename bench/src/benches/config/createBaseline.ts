import { DocumentTable, SeededRandom, StoreSource, type ConfigPorts } from '@limpetbay/core';
import { SimulatedStore } from './SimulatedStore.js';
import { Timeline } from './Timeline.js';

const TICK_MS = 100;
const WARM_UP_MS = 6000;

/** Creates the baseline: a fleet in which every process watches the store itself. */
export function createBaseline(
  seed: number,
  processes: number,
): { readonly timeline: Timeline; readonly store: SimulatedStore } {
  const timeline = new Timeline();
  const random = new SeededRandom(seed);
  const store = new SimulatedStore(timeline, random);
  const ports = {
    readDocuments: store.readDocuments,
    watchDocuments: store.watchDocuments,
    warn: () => undefined,
  } as unknown as ConfigPorts;
  for (let index = 0; index < processes; index += 1) {
    const table = new DocumentTable();
    const source = new StoreSource({ clock: timeline.clock, random, ports, table });
    source.start();
    const tick = (): void => {
      source.tick();
      timeline.schedule(TICK_MS, tick);
    };
    timeline.schedule(random.next() * TICK_MS, tick);
  }
  timeline.advance(WARM_UP_MS);
  return { timeline, store };
}
