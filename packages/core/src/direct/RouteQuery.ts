import { z } from 'zod';

/** A request whose route is to be explained. */
export const RouteQuery = z.object({
  method: z.string().regex(/^[A-Z]+$/, 'allowed: an HTTP method'),
  host: z.string().min(1),
  /** Path, with or without its query. */
  path: z.string().regex(/^\//, 'allowed: a path that begins with a slash'),
  /** Name of the workspace; null where the API key names it. */
  workspace: z.string().nullable(),
  apiKey: z.string().nullable(),
  promptTokens: z.number().int().nonnegative(),
  answerTokens: z.number().int().nonnegative(),
  /** Expected length of the answer in tokens; null where not stated. */
  lengthHint: z.number().int().nonnegative().nullable(),
});

export type RouteQuery = z.infer<typeof RouteQuery>;
