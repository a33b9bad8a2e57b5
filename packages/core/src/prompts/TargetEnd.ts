import { z } from 'zod';

/** Names of runs of targets and times are shorter, characters. */
const MAX_NAME_LENGTH = 300;
const MAX_TIME_LENGTH = 40;

/** The end of a target while a request with some prompt part waited for its answer. */
export const TargetEnd = z.object({
  target: z.string().max(MAX_NAME_LENGTH),
  /** Whether the target had sent the head of the answer, that is, had begun to write it. */
  hadHead: z.boolean(),
  /** Wall-clock time at the entry that saw it, ISO 8601; for operators only. */
  at: z.string().max(MAX_TIME_LENGTH),
});

export type TargetEnd = z.infer<typeof TargetEnd>;
