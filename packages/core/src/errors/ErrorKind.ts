import { z } from 'zod';

/** All error kinds. `answerTable` maps each kind to an HTTP answer. */
export const ErrorKind = z.enum([
  'bad_request',
  'unknown_service',
  'method_not_allowed',
  'body_too_large',
  'request_too_slow',
  'missing_workspace',
  'key_reused',
  'key_expired',
  'key_in_progress',
  'deadline_exceeded',
  'overloaded',
  'workspace_limited',
  'no_target',
  'not_ready',
  'isolated',
  'leaving',
  'zone_out',
  'target_cold',
  'request_blocked',
  'stale_incarnation',
  'stale_epoch',
  'store_unavailable',
  'outcome_unknown',
  'answer_incomplete',
  'timed_out',
  'target_error',
  'cancelled',
  'conflict',
  'invalid_document',
  'invalid_setting',
  'internal',
]);

export type ErrorKind = z.infer<typeof ErrorKind>;
