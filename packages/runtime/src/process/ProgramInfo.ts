/** What the first log line of a process says about its program. */
export interface ProgramInfo {
  /** Name of the program, such as `limpetbay-entry`. */
  readonly role: string;
  readonly version: string;
  /** Path of the settings file; null for a program without one. */
  readonly settingsFile: string | null;
  /** Resident memory at which the deployment ends the process, bytes; null if it names none. */
  readonly memoryLimitBytes: number | null;
  /** Whether the compiled code of the build was used; absent for programs that have none. */
  readonly codeCache?: string;
}
