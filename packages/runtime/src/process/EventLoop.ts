/** The single loop of a process: every input is an event, handled to completion in order. */
export interface EventLoop<Event> {
  /** Adds an event; it is handled at once, or after the event that is being handled. */
  push(event: Event): void;
  /** Handles nothing from now on. */
  stop(): void;
}
