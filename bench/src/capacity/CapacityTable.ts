/** One table of the capacity page. */
export interface CapacityTable {
  /** Name of the markers between which it stands. */
  readonly id: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}
