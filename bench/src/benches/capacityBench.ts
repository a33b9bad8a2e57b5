import { readFileSync, writeFileSync } from 'node:fs';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { compareSlope } from '../capacity/compareSlope.js';
import { computeTables } from '../capacity/computeTables.js';
import { loadSlopes } from '../capacity/loadSlopes.js';
import { measureCapacity } from '../capacity/measureCapacity.js';
import { pageFile } from '../capacity/pageFile.js';
import { replaceTables } from '../capacity/replaceTables.js';
import { slopesFile } from '../capacity/slopesFile.js';

/** Writes the slopes and the tables of the page that follow from them. */
const RECORD_FLAG = '--record';

/** Slopes of each role against the recorded ones, from which `docs/CAPACITY.md` is computed. */
export const capacityBench: Bench = {
  name: 'capacity',
  deterministic: false,
  async run(): Promise<BenchResult[]> {
    const slopes = await measureCapacity();
    if (process.argv.includes(RECORD_FLAG)) {
      writeFileSync(slopesFile, `${JSON.stringify(slopes, null, 2)}\n`);
      const tables = computeTables(loadSlopes());
      writeFileSync(pageFile, replaceTables(readFileSync(pageFile, 'utf8'), tables));
    }
    const recorded = loadSlopes();
    const results: BenchResult[] = [];
    for (const slope of slopes) results.push(...compareSlope(slope, recorded.get(slope.id)));
    return results;
  },
};
