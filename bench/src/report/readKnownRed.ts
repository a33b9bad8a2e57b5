import { existsSync, readFileSync } from 'node:fs';

const FILE = new URL('../../../KNOWN-RED.txt', import.meta.url);
const ENTRY = /^bench (\S+):/;

/** Reads the names of the results that KNOWN-RED.txt lists; they fail without failing the run. */
export function readKnownRed(): ReadonlySet<string> {
  const names = new Set<string>();
  if (!existsSync(FILE)) return names;
  for (const line of readFileSync(FILE, 'utf8').split('\n')) {
    const name = ENTRY.exec(line)?.[1];
    if (name !== undefined) names.add(name);
  }
  return names;
}
