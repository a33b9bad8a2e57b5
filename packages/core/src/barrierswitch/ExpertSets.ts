/** Expert map: the experts that each rank holds, by layer set, then by rank. */
export type ExpertSets = readonly (readonly (readonly number[])[])[];
