import type { RankOrder } from '@limpetbay/core';

/** The order that arms a rank to switch to a prepared map. */
export type ArmOrder = Extract<RankOrder, { operation: 'arm' }>;
