/** Most passes from the last one that a group has begun to the boundary of a switch. */
export const maxBoundaryLead = 4;
