import type { AnswerHead, WireCodec } from '../../src/index.js';

/** Names of the headers between simulated entries and targets. */
const ID_HEADER = 'id';
const PARTS_HEADER = 'parts';
const LAST_EVENT_HEADER = 'last-event-id';
const LIMIT_HEADER = 'limit';

/** Codec of simulated targets, without the names of a deployment. */
export const simCodec: WireCodec = {
  readRequest: () => {
    throw new Error('simulated callers send decoded requests');
  },
  listTargetHeaders: ({ id, prompt }, { lastEventId }) => [
    ID_HEADER,
    id,
    PARTS_HEADER,
    prompt,
    LAST_EVENT_HEADER,
    lastEventId ?? '0',
  ],
  readAnswer: (status, headers): AnswerHead => ({
    status,
    requestId: String(headers[ID_HEADER] ?? ''),
    isSigned: true,
    isNotRun: status === 503,
    rateLimit: headers[LIMIT_HEADER] === undefined ? null : Number(headers[LIMIT_HEADER]),
    isMisdirected: false,
    isLeaving: false,
    retryAfterMs: null,
    forwarded: [],
  }),
  listOwnHeaders: () => [],
};
