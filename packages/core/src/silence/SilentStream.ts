/** A stream without progress for longer than its limit. */
export interface SilentStream {
  readonly stream: string;
  readonly channel: string;
  /** Time without progress, milliseconds, less the time for which this process itself stood still. */
  readonly silentMs: number;
  /**
   * Whether to replace the channel: no other stream on it made progress in that time either. False
   * where the channel works and only this stream hangs.
   */
  readonly replaceChannel: boolean;
}
