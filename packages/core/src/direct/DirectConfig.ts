import { z } from 'zod';
import { DirectRoute } from './DirectRoute.js';
import { DirectService } from './DirectService.js';

/** The configuration of entries that send to targets directly, without agents. */
export const DirectConfig = z.object({
  /** Increases with every accepted configuration, not necessarily by 1. */
  version: z.number().int().nonnegative(),
  routes: z.array(DirectRoute),
  services: z.array(DirectService),
  /** Null where callers need no API key. */
  workspaces: z
    .array(
      z.object({
        name: z.string(),
        apiKeys: z.array(z.string()),
        /** Overrides the priority of the route; null where the route decides. */
        priority: z.number().int().nonnegative().nullable(),
      }),
    )
    .nullable(),
  /** How long a caller's connection may stay idle, milliseconds. */
  idleTimeoutMs: z.number().positive(),
  /** Time within which the head of a request must arrive, milliseconds. */
  headTimeoutMs: z.number().positive(),
  /** Largest request body, bytes. */
  maxBodyBytes: z.number().positive(),
});

export type DirectConfig = z.infer<typeof DirectConfig>;
