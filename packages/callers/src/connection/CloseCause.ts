/** Why a request of a caller ended without an answer of its own: a label of the metrics. */
export type CloseCause =
  | 'caller_closed'
  | 'caller_reset'
  | 'parse_error'
  | 'head_timeout'
  | 'body_timeout'
  | 'idle_timeout'
  | 'body_evicted'
  | 'heads_too_large'
  | 'body_too_large'
  | 'bad_request'
  | 'internal_error'
  | 'stop'
  | 'answer_aborted';
