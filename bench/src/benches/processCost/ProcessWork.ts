/** Work of a process over some time. */
export interface ProcessWork {
  /** User and system time, milliseconds. */
  readonly processorMs: number;
  /** Times at which the process gave up the processor to wait. */
  readonly wakeups: number;
  /** Datagrams received and sent. */
  readonly messages: number;
  /** Payload of the datagrams. */
  readonly bytes: number;
}
