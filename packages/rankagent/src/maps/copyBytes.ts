/** Layout of one copy in an encoded list of copies, bytes. */
export const copyBytes = { set: 1, rank: 2, expert: 2, total: 5 } as const;
