import { z } from 'zod';

/** The registration of an entry, for the entry directory and the other entries. */
export const EntryRecord = z.object({
  name: z.string(),
  /** `IP:PORT` for callers. */
  callerAddress: z.string(),
  /** `IP:PORT` for other processes of the system. */
  peerAddress: z.string(),
  zone: z.string(),
});

export type EntryRecord = z.infer<typeof EntryRecord>;
