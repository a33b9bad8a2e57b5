import { z } from 'zod';

/** Names of runs of targets and times are shorter, characters. */
const MAX_NAME_LENGTH = 300;
const MAX_TIME_LENGTH = 40;

/** The end of a target while a request with some suspect waited for its answer. */
export const TargetEnd = z.object({
  target: z.string().max(MAX_NAME_LENGTH),
  /**
   * Whether the target may have begun the request: of a stream, it had sent the head of the answer.
   * False for a stream that waited in the queue of the target.
   */
  hadHead: z.boolean(),
  /**
   * Whether several parts of the answer had arrived. Most targets that end on a request do so
   * earlier, so this speaks against what it carries only if no such answer was complete recently.
   */
  isMidway: z.boolean().default(false),
  /** Wall-clock time at the entry that saw it, ISO 8601; for operators only. */
  at: z.string().max(MAX_TIME_LENGTH),
});

export type TargetEnd = z.infer<typeof TargetEnd>;
