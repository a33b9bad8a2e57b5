import { existsSync, readFileSync } from 'node:fs';
import { z } from 'zod';
import { CapacitySlope } from './CapacitySlope.js';
import { slopesFile } from './slopesFile.js';

/** Reads the recorded slopes by id; none where nothing is recorded yet. */
export function loadSlopes(): Map<string, CapacitySlope> {
  if (!existsSync(slopesFile)) return new Map();
  const slopes = z.array(CapacitySlope).parse(JSON.parse(readFileSync(slopesFile, 'utf8')));
  return new Map(slopes.map((slope) => [slope.id, slope]));
}
