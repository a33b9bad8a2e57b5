import type { ExpertSets } from '@limpetbay/core';

/** Maps that are kept: the active one, the next, and those of a switch that failed. */
const MAX_MAPS = 4;

interface CachedMap {
  readonly epoch: number;
  readonly version: number;
  readonly sets: ExpertSets;
}

/** The maps that a rank was last ordered to prepare, from which later ones are derived. */
export class MapCache {
  #maps: CachedMap[] = [];

  add(epoch: number, version: number, sets: ExpertSets): void {
    if (this.find(epoch, version) !== null) return;
    this.#maps = [{ epoch, version, sets }, ...this.#maps].slice(0, MAX_MAPS);
  }

  find(epoch: number, version: number): ExpertSets | null {
    for (const map of this.#maps) {
      if (map.epoch === epoch && map.version === version) return map.sets;
    }
    return null;
  }

  clear(): void {
    this.#maps = [];
  }
}
