import type { Header, Priority, ServiceName, Workspace } from '@limpetbay/core';

/** A parsed request of a caller. */
export interface CallerRequest {
  readonly kind: 'chat' | 'service';
  readonly service: ServiceName;
  readonly method: string;
  /** Path and query as sent to the target. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly workspace: Workspace;
  readonly priority: Priority;
  /** Time that the caller waits, milliseconds; null uses the limit of the service's document. */
  readonly deadlineMs: number | null;
  /** Empty if not given. */
  readonly idempotencyKey: string;
  /** Issue time of the key, Unix milliseconds; 0 if not given. */
  readonly keyTimeMs: number;
  /** Whether the caller requested server-sent events. */
  readonly stream: boolean;
  /** Estimated number of tokens of the prompt; 0 for plain services. */
  readonly promptTokens: number;
  /** Maximum number of tokens of the answer; 0 for plain services. */
  readonly maxTokens: number;
  /** Start of the prompt, by which targets' prefix caches are matched; empty for plain services. */
  readonly prompt: string;
}
