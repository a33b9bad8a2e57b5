import { z } from 'zod';
import { Incarnation } from '../ids/Incarnation.js';
import { RequestId } from '../ids/RequestId.js';
import { ServiceName } from '../ids/ServiceName.js';
import { TargetId } from '../ids/TargetId.js';
import { Workspace } from '../ids/Workspace.js';
import { Priority } from '../admission/Priority.js';
import { Header } from './Header.js';

/** One attempt of a request, as an entry sends it to an agent. */
export const Attempt = z.object({
  requestId: RequestId,
  attempt: z.number().int().min(1),
  service: ServiceName,
  target: TargetId,
  /** Incarnation of the target that the entry expects; 0 accepts any. */
  incarnation: Incarnation,
  workspace: Workspace,
  priority: Priority,
  /** Milliseconds until the deadline when the entry sent the attempt. */
  deadlineMs: z.number().positive(),
  repeatable: z.boolean(),
  /** Empty if the caller sent none. */
  idempotencyKey: z.string().max(255),
  /** Issue time of the key, Unix milliseconds; 0 if not sent. */
  keyTimeMs: z.number().nonnegative(),
  method: z.string(),
  path: z.string(),
  headers: z.array(Header),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  /** Number of tokens of the answer that the caller has already received. */
  resumeFrom: z.number().int().nonnegative(),
  promptTokens: z.number().int().nonnegative(),
  maxTokens: z.number().int().nonnegative(),
  configRevision: z.number().nonnegative(),
  /** Whether the answer is streamed token by token. */
  stream: z.boolean().optional(),
});

export type Attempt = z.infer<typeof Attempt>;
