/** Layout of one rank in an encoded list of loads, bytes. */
export const loadBytes = { host: 4, port: 2, active: 1, queued: 1, total: 8 } as const;
