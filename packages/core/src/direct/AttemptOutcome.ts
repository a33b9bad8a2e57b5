/**
 * How an attempt ended without a success: nothing reached the target, the target declared that it
 * did not run the request, it answered with a failure, or it may have run the request.
 */
export type AttemptOutcome = 'unreachable' | 'rejected' | 'failed' | 'broken';
