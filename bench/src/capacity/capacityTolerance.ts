import type { CapacitySlope } from './CapacitySlope.js';

/**
 * Largest factor, in either direction, between a run and the record at the largest measured size.
 * Processor time varies with the load of a shared machine, heap with the moment of a collection;
 * counts and bytes do not vary.
 */
export const capacityTolerance: Readonly<Record<CapacitySlope['kind'], number>> = {
  time: 2,
  memory: 1.25,
  exact: 1.01,
};
