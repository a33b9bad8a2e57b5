/**
 * How an attempt failed.
 *
 * - `unreachable`: nothing reached the target.
 * - `rejected`: the target declared that it did not run the request.
 * - `failed`: the target answered with a failure.
 * - `broken`: the attempt broke off, and the target may have run the request.
 */
export type AttemptOutcome = 'unreachable' | 'rejected' | 'failed' | 'broken';
