import type { Disposable, Scheduler, Sink, Source } from 'most';

/**
 * A source of a `most` stream whose events are pushed. An event pushed while another one is being
 * handled follows it; the event emitter source of `most` would lose it.
 */
export class PushSource<Event> implements Source<Event> {
  readonly #waiting: Event[] = [];

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

  /** Adds an event. Events pushed after the stream has ended are dropped. */
  push(event: Event): void {
    this.#waiting.push(event);
    if (this.#isPropagating) return;
    this.#isPropagating = true;
    for (let next = this.#waiting.shift(); next !== undefined; next = this.#waiting.shift()) {
      this.#sink?.event(this.#scheduler!.now(), next);
    }
    this.#isPropagating = false;
  }
}
