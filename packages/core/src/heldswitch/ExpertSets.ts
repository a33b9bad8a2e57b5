/** Experts by set and rank. */
export type ExpertSets = readonly (readonly (readonly number[])[])[];
