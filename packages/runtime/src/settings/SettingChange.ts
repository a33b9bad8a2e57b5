/** Difference of one setting between two versions of a settings file. */
export interface SettingChange {
  readonly name: string;
  /** Null if the setting was not in the file. */
  readonly from: string | null;
  /** Null if the setting is no longer in the file. */
  readonly to: string | null;
}
