import { z } from 'zod';

/** How an entry registers itself for the directory and for the other entries. */
export const EntryRecord = z.object({
  name: z.string(),
  /** `IP:PORT` for callers. */
  callerAddress: z.string(),
  /** `IP:PORT` for other processes of the system. */
  peerAddress: z.string(),
  zone: z.string(),
});

export type EntryRecord = z.infer<typeof EntryRecord>;
