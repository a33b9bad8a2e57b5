import { z } from 'zod';

/** How fast the ranks of a model service work, as its operators state it. */
export const EngineModel = z.object({
  /** Requests that a rank processes at once. */
  capacity: z.number().int().positive(),
  /** Time of a decoding step without any request, milliseconds. */
  stepMs: z.number().nonnegative(),
  /** Added to a step by each request that is decoding, milliseconds. */
  perSequenceMs: z.number().nonnegative(),
  /** Added to a step by each 1,000 tokens of context, milliseconds. */
  contextMsPerThousand: z.number().nonnegative(),
  /** Prompt tokens that a rank reads in a second. */
  prefillTokensPerSecond: z.number().positive(),
  /** Prompt tokens that a rank reads in one pass at most. */
  chunkTokens: z.number().int().positive(),
  /** Decoding steps of one pass; an event of a stream holds the tokens of one pass. */
  stride: z.number().int().positive(),
  /** Tokens that the memory of a rank holds. */
  kvCapacity: z.number().positive(),
  /** Mean length of prompts and answers, tokens. */
  usualPromptTokens: z.number().nonnegative(),
  usualAnswerTokens: z.number().nonnegative(),
  /** Null where the ranks share no experts. */
  experts: z
    .object({
      /** Sets of layers that share one placement. */
      sets: z.number().int().positive(),
      /** Experts of one set. */
      count: z.number().int().positive(),
      /** Copies that a rank holds of one set at most. */
      slotsPerRank: z.number().int().positive(),
      /** New copies that a rank accepts for one set in one change. */
      spareSlots: z.number().int().nonnegative(),
      /** Time to copy one expert to a rank, milliseconds. */
      copyMs: z.number().nonnegative(),
      /** Share of a token's work that its experts do, 0 to 1. */
      workShare: z.number().min(0).max(1),
    })
    .nullable(),
});

export type EngineModel = z.infer<typeof EngineModel>;
