/** Settings of a program with the file content from which they were read. */
export interface LoadedSettings<Settings> {
  readonly text: string;
  /** Values by the full names of the settings. */
  readonly values: ReadonlyMap<string, unknown>;
  readonly settings: Settings;
}
