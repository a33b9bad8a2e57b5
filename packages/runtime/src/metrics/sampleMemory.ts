import { getHeapSpaceStatistics } from 'node:v8';
import type { MemorySample } from './MemorySample.js';

/** Reads the memory of this process; takes some 20 microseconds. */
export function sampleMemory(): MemorySample {
  const { rss, external, arrayBuffers } = process.memoryUsage();
  let heap = 0;
  for (const { space_name: name, space_used_size: bytes } of getHeapSpaceStatistics()) {
    if (!name.startsWith('new_')) heap += bytes;
  }
  return { resident: rss, heap, external, arrayBuffers };
}
