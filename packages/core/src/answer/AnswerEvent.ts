import type { LoadReport } from '../admission/LoadReport.js';
import type { Failure } from '../errors/Failure.js';
import type { Header } from './Header.js';

/**
 * Progress of an attempt as seen by the entry. `complete` and `failed` are final. With the end
 * `refused`, the agent declares that it has not dispatched this attempt.
 */
export type AnswerEvent =
  | { readonly type: 'accepted'; readonly load: LoadReport }
  | {
      readonly type: 'head';
      readonly status: number;
      readonly headers: readonly Header[];
      readonly replayed: boolean;
    }
  | { readonly type: 'bytes'; readonly data: Uint8Array; readonly tokens: number }
  | { readonly type: 'progress' }
  | { readonly type: 'complete'; readonly load: LoadReport }
  | {
      readonly type: 'failed';
      readonly end: 'refused' | 'failed' | 'broken' | 'silent';
      readonly failure: Failure;
      readonly load: LoadReport | null;
    };
