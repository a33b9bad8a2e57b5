/** Why an answer was broken off, and since when its connection had taken nothing of it. */
export interface DroppedAnswer {
  readonly cause: 'memory' | 'unread';
  /** What was not sent. */
  readonly bytes: number;
  readonly noProgressMs: number;
}
