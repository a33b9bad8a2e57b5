/** Log of one component; each line carries the prefix of the component. */
export interface Log {
  /**
   * Writes a line of level `info`.
   *
   * @param fields names and values that are printed after the sentence
   */
  report(sentence: string, fields?: Record<string, unknown>): void;
  /** Writes a line of level `warn`. */
  warn(sentence: string, fields?: Record<string, unknown>): void;
  /** Writes a line of level `error`. */
  alert(sentence: string, fields?: Record<string, unknown>): void;
}
