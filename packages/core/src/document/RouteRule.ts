import { z } from 'zod';

/** A line of the `[routes]` section: whether requests under a path prefix may be repeated. */
export const RouteRule = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  pathPrefix: z.string().startsWith('/'),
  repeat: z.enum(['repeatable', 'once']),
});

export type RouteRule = z.infer<typeof RouteRule>;
