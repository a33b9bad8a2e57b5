import type { Disposable, Scheduler, Sink, Source } from 'most';

/**
 * Source of a `most` stream that emits pushed events. An event pushed while another one is being
 * handled is queued behind it; the event emitter source of `most` would drop it.
 */
export class PushSource<Event> implements Source<Event> {
  readonly #pending: Event[] = [];

  #sink: Sink<Event> | null = null;

  #scheduler: Scheduler | null = null;

  #isPropagating = false;

  run(sink: Sink<Event>, scheduler: Scheduler): Disposable<Event> {
    this.#sink = sink;
    this.#scheduler = scheduler;
    return {
      dispose: () => {
        this.#sink = null;
      },
    };
  }

  /** Emits an event. Events pushed after the stream has ended are dropped. */
  push(event: Event): void {
    this.#pending.push(event);
    if (this.#isPropagating) return;
    this.#isPropagating = true;
    try {
      for (let next = this.#pending.shift(); next !== undefined; next = this.#pending.shift()) {
        this.#sink?.event(this.#scheduler!.now(), next);
      }
    } finally {
      this.#isPropagating = false;
    }
  }
}
