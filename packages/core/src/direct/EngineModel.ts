import { z } from 'zod';

/** Performance model of the ranks of a model service, as configured by its operators. */
export const EngineModel = z.object({
  /** Requests that a rank processes at once. */
  capacity: z.number().int().positive(),
  /** Time of a decoding step without any request, milliseconds. */
  stepMs: z.number().nonnegative(),
  /** Added to a step by each request that is decoding, milliseconds. */
  perSequenceMs: z.number().nonnegative(),
  /** Added to a step by each 1,000 tokens of context, milliseconds. */
  contextMsPerThousand: z.number().nonnegative(),
  /** Prompt tokens that a rank prefills in a second. */
  prefillTokensPerSecond: z.number().positive(),
  /** Most prompt tokens that a rank prefills in one pass. */
  chunkTokens: z.number().int().positive(),
  /** Decoding steps of one pass; an event of a stream holds the tokens of one pass. */
  stride: z.number().int().positive(),
  /** Capacity of the KV cache of a rank, tokens. */
  kvCapacity: z.number().positive(),
  /** Mean lengths of prompts and answers, tokens. */
  usualPromptTokens: z.number().nonnegative(),
  usualAnswerTokens: z.number().nonnegative(),
  /** Null where the ranks do not share experts (no expert parallelism). */
  experts: z
    .object({
      /** Number of layer sets; the layers of one set share one placement. */
      sets: z.number().int().positive(),
      /** Experts of one set. */
      count: z.number().int().positive(),
      /** Most copies that a rank holds of one set. */
      slotsPerRank: z.number().int().positive(),
      /** Most new copies that a rank accepts for one set in one change. */
      spareSlots: z.number().int().nonnegative(),
      /** Time to copy one expert to a rank, milliseconds. */
      copyMs: z.number().nonnegative(),
      /** Fraction of a token's work that is done by its experts, 0 to 1. */
      workShare: z.number().min(0).max(1),
    })
    .nullable(),
});

export type EngineModel = z.infer<typeof EngineModel>;
