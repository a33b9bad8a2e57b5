import { z } from 'zod';
import { TargetEnd } from './TargetEnd.js';

/** Ends of targets that are stored with a suspect; more would decide nothing. */
const MAX_ENDS = 16;

/** Names of entries are shorter, characters. */
const MAX_NAME_LENGTH = 300;

/** What entries share through the store about one suspect. */
export const SuspectRecord = z.object({
  ends: z.array(TargetEnd).max(MAX_ENDS),
  /** Name of the entry whose request with the suspect is on trial; null without a trial. */
  trial: z.string().max(MAX_NAME_LENGTH).nullable(),
});

export type SuspectRecord = z.infer<typeof SuspectRecord>;
