import type { LoadReport } from '../admission/LoadReport.js';
import type { ErrorKind } from '../errors/ErrorKind.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RequestId } from '../ids/RequestId.js';
import type { Header } from './Header.js';

/** One frame of an answer, from an agent to an entry. */
export interface AnswerFrame {
  readonly requestId: RequestId;
  readonly attempt: number;
  readonly incarnation: Incarnation;
  readonly part:
    | { readonly type: 'accepted'; readonly load: LoadReport }
    | {
        readonly type: 'head';
        readonly status: number;
        readonly headers: readonly Header[];
        readonly replayed: boolean;
      }
    | {
        readonly type: 'chunk';
        /** Increases from 0 without gaps. */
        readonly sequence: number;
        readonly data: Uint8Array;
        readonly tokens: number;
      }
    | { readonly type: 'progress' }
    | {
        readonly type: 'end';
        readonly chunks: number;
        readonly bytes: number;
        readonly load: LoadReport;
      }
    /** The agent declares that it has not dispatched the attempt to the target. */
    | {
        readonly type: 'refused';
        readonly kind: ErrorKind;
        readonly message: string;
        readonly retryAfterMs: number;
        readonly load: LoadReport;
      }
    /** The attempt failed after it was, or may have been, dispatched to the target. */
    | {
        readonly type: 'failed';
        readonly kind: ErrorKind;
        readonly message: string;
        readonly load: LoadReport;
      };
}
