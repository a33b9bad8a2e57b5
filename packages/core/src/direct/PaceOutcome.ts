/**
 * What an attempt shows of its target.
 *
 * - `begun`: the first event of a stream arrived, or a complete body.
 * - `answered`: the answer is complete.
 * - `failed`: the target rejected the request, failed it or could not be reached.
 * - `abandoned`: the entry gave the attempt up for another reason, before the answer had begun.
 */
export type PaceOutcome = 'begun' | 'answered' | 'failed' | 'abandoned';
