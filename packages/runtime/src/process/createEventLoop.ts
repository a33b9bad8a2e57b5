import { Stream, merge, periodic } from 'most';
import type { EventLoop } from './EventLoop.js';
import { PushSource } from './PushSource.js';

interface EventLoopOptions<Event> {
  /** Handles one event; must not wait for anything. */
  readonly handle: (event: Event) => void;
  /** Learns of an event whose handling threw; the loop goes on with the next one. */
  readonly onError: (event: Event, error: unknown) => void;
  /** Event to add every `tickMs` milliseconds. */
  readonly tick: Event;
  readonly tickMs: number;
}

/** Creates the event loop of a process from a stream of pushed events and one of ticks. */
export function createEventLoop<Event>(options: EventLoopOptions<Event>): EventLoop<Event> {
  const handle = (event: Event): void => {
    try {
      options.handle(event);
    } catch (error) {
      options.onError(event, error);
    }
  };
  const source = new PushSource<Event>();
  const ending = new PushSource<null>();
  const ticks = periodic(options.tickMs).constant(options.tick);
  void merge(new Stream(source), ticks).until(new Stream(ending)).observe(handle);
  return {
    push: (event) => source.push(event),
    stop: () => ending.push(null),
  };
}
