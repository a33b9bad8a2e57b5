/** A log with the fixed prefix of one part. */
export interface Log {
  /** @param fields names and values that go behind the sentence */
  report(sentence: string, fields?: Record<string, unknown>): void;
  warn(sentence: string, fields?: Record<string, unknown>): void;
  alert(sentence: string, fields?: Record<string, unknown>): void;
}
