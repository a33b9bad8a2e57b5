/**
 * What the head of an answer says about the request.
 *
 * - `events`: its answer is a stream of events, which may be passed on as they arrive.
 * - `answer`: its answer is the body, which may be passed on once it is complete.
 * - `failure`: the target has failed to run it.
 * - `rejection`: the target did not run it.
 * - `misdirected`: another target has the address and did not run it.
 * - `unproven`: the status claims more than the head shows; the target may have run it.
 * - `foreign`: nothing; the answer belongs to another request.
 */
export type HeadMeaning =
  'events' | 'answer' | 'failure' | 'rejection' | 'misdirected' | 'unproven' | 'foreign';
