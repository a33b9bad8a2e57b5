/** A stream without progress for longer than its timeout. */
export interface StalledStream {
  readonly stream: string;
  readonly connection: string;
  /**
   * Time without progress, less the time for which this process itself was paused, milliseconds.
   */
  readonly stalledMs: number;
  /**
   * Whether to replace the connection, because no other stream on it made progress in that time
   * either. False if the connection works and only this stream has stalled.
   */
  readonly replaceChannel: boolean;
}
