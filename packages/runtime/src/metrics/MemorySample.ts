/** Memory of this process at one time, bytes. */
export interface MemorySample {
  /** Memory that the operating system keeps for the process. */
  readonly resident: number;
  /** JavaScript objects outside of the young generation; the heap limit applies to them. */
  readonly heap: number;
  /** Memory outside of the heap that objects keep, array buffers included. */
  readonly external: number;
  readonly arrayBuffers: number;
}
