import { z } from 'zod';

/** The fields of an OpenAI-style chat request that the entry reads; others are forwarded as is. */
export const ChatBody = z.looseObject({
  model: z.string().min(1).max(200),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(1_000_000).optional(),
  max_completion_tokens: z.number().int().min(1).max(1_000_000).optional(),
});

export type ChatBody = z.infer<typeof ChatBody>;
