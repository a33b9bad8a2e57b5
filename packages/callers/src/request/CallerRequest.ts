import type { Header, Priority, ServiceName, Workspace } from '@limpetbay/core';

/** A caller's request after parsing. */
export interface CallerRequest {
  readonly kind: 'chat' | 'service';
  readonly service: ServiceName;
  readonly method: string;
  /** Path and query as the target gets them. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly workspace: Workspace;
  readonly priority: Priority;
  /** Milliseconds that the caller still waits; null takes the limit of the service's document. */
  readonly deadlineMs: number | null;
  /** Empty when the caller gave none. */
  readonly idempotencyKey: string;
  /** Issue time of the key, Unix milliseconds; 0 when not given. */
  readonly keyTimeMs: number;
  /** Whether the caller asked for server-sent events. */
  readonly stream: boolean;
  /** Estimate of the prompt's tokens. */
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Beginning of the prompt, by which prefix caches are matched. */
  readonly prompt: string;
}
