import { setImmediate as waitTurn } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Collections before a reading; one alone leaves objects with weak references or finalizers. */
const COLLECTIONS = 3;

async function readBytes(): Promise<number> {
  for (let turn = 0; turn < COLLECTIONS; turn += 1) {
    // Objects that were used in a turn of the event loop may be held until its end.
    await waitTurn();
    collect();
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Returns the bytes of memory that what `build` returns holds.
 *
 * @param copies how many are built and held, so that small objects stand out from what collections
 *   leave behind (some 60 KB)
 */
export async function measureHeap(build: () => unknown, copies = 1): Promise<number> {
  const before = await readBytes();
  const held: unknown[] = [];
  for (let copy = 0; copy < copies; copy += 1) held.push(build());
  const bytes = (await readBytes()) - before;
  held.length = 0;
  return bytes / copies;
}
