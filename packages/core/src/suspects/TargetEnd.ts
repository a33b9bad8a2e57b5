import { z } from 'zod';

/** The end of a target while a request with some suspect waited for its answer. */
export const TargetEnd = z.object({
  target: z.string(),
  /**
   * Whether the target may have begun the request: of a stream, it had sent the head of the answer.
   * False for a stream that waited in the queue of the target.
   */
  hadHead: z.boolean(),
  /** Wall-clock time at the entry that saw it, ISO 8601; for operators only. */
  at: z.string(),
});

export type TargetEnd = z.infer<typeof TargetEnd>;
