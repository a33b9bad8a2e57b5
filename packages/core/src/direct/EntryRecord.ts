import { z } from 'zod';
import { Address } from '../ids/Address.js';

/** The registration of an entry, for the entry directory and the other entries. */
export const EntryRecord = z.object({
  name: z.string().min(1),
  /** For callers. */
  callerAddress: Address,
  /** For other processes of the system. */
  peerAddress: Address,
  zone: z.string().min(1),
});

export type EntryRecord = z.infer<typeof EntryRecord>;
