import type { AnswerTransport } from './AnswerTransport.js';

/** Receives the answer to a `DirectCall`. */
export interface DirectListener {
  /** @param headers by lower-case name; a repeated header has an array of values */
  onHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    transport: AnswerTransport,
  ): void;
  onData(data: Buffer): void;
  /** Called when the answer is complete by its framing. */
  onEnd(): void;
  /** @param isUnsent whether no connection was established, so that the target received nothing */
  onFailure(message: string, isUnsent: boolean): void;
}
