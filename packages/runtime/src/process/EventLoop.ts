/** Event loop of a process: every input is an event, and events are handled one after another. */
export interface EventLoop<Event> {
  /** Adds an event. It is handled immediately, or after the event that is being handled. */
  push(event: Event): void;
  /** Stops the loop; later events are dropped. */
  stop(): void;
}
