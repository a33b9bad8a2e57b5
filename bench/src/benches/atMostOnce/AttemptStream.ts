import type { Attempt } from '@limpetbay/core';
import type { CallerRequest } from './CallerRequest.js';
import type { Connection } from './Connection.js';

/** One attempt of a request and the connection that it was sent on. */
export interface AttemptStream {
  readonly id: string;
  readonly connection: Connection;
  readonly attempt: Attempt;
  readonly request: CallerRequest;
}
