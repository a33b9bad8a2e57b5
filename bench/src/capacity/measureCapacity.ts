import type { CapacitySlope } from './CapacitySlope.js';
import { measureAgent } from './measureAgent.js';
import { measureEntry } from './measureEntry.js';
import { measurePath } from './measurePath.js';
import { measurePlanner } from './measurePlanner.js';
import { measureRelay } from './measureRelay.js';
import { measureStore } from './measureStore.js';
import { measureWire } from './measureWire.js';

/** Measures all slopes, one after another. */
export async function measureCapacity(): Promise<CapacitySlope[]> {
  return [
    ...(await measureEntry()),
    ...(await measureWire()),
    ...(await measurePath()),
    ...(await measureAgent()),
    ...(await measureRelay()),
    ...(await measurePlanner()),
    ...(await measureStore()),
  ];
}
