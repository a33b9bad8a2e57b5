import { z } from 'zod';

/** The end of a target while a request with some prompt part waited for its answer. */
export const TargetEnd = z.object({
  target: z.string(),
  /** Whether the target had sent the head of the answer, that is, had begun to write it. */
  hadHead: z.boolean(),
  /** Wall-clock time at the entry that saw it, ISO 8601; for operators only. */
  at: z.string(),
});

export type TargetEnd = z.infer<typeof TargetEnd>;
