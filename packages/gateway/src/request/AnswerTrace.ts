import type { AnswerTransport } from '@limpetbay/targets';

/** What the log tells of the answer of an attempt; empty where no complete head arrived. */
export interface AnswerTrace {
  readonly status?: number;
  /** `own`, `none`, or the id of the other request that the answer names. */
  readonly answerId?: string;
  readonly isSigned?: boolean;
  /** Whether the target declares that it did not run the request. */
  readonly isNotRun?: boolean;
  readonly framing?: AnswerTransport['framing'];
  /** Whether it is the first answer on its connection. */
  readonly isFirst?: boolean;
  /** Bytes of a body that is not an event stream. */
  readonly bytes?: number;
  /** Complete events of a stream. */
  readonly events?: number;
}
