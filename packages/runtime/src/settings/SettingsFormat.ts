import type { Failure, Result } from '@limpetbay/core';

/** Format and schema of the settings file of a program. */
export interface SettingsFormat<Settings> {
  /** Splits the text of a file into values by the full names of the settings. */
  parse(text: string): ReadonlyMap<string, unknown>;
  /**
   * Checks the values.
   *
   * @param file path of the file, for error messages
   * @returns the settings, or `invalid_setting` with one line for each wrong value
   */
  check(values: ReadonlyMap<string, unknown>, file: string): Result<Settings, Failure>;
  /** Returns whether a setting may change while the program runs; the others need a restart. */
  isLive(name: string): boolean;
}
