/** Sets of experts of the model, experts in each, and places for them at each rank and set. */
export const modelShape = { sets: 16, experts: 192, slotsPerRank: 3 } as const;
