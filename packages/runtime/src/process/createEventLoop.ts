import { Stream, merge, periodic } from 'most';
import type { EventLoop } from './EventLoop.js';
import { PushSource } from './PushSource.js';

interface EventLoopOptions<Event> {
  /** Handles one event synchronously; the next event is handled after it returns. */
  readonly handle: (event: Event) => void;
  /** Called when `handle` throws; the loop continues with the next event. */
  readonly onError: (event: Event, error: unknown) => void;
  /** Event that the loop adds every `tickMs` milliseconds. */
  readonly tick: Event;
  readonly tickMs: number;
}

/** Creates the event loop of a process, which merges pushed events with periodic ticks. */
export function createEventLoop<Event>(options: EventLoopOptions<Event>): EventLoop<Event> {
  const handleSafely = (event: Event): void => {
    try {
      options.handle(event);
    } catch (error) {
      options.onError(event, error);
    }
  };
  const eventSource = new PushSource<Event>();
  const stopSource = new PushSource<null>();
  const ticks = periodic(options.tickMs).constant(options.tick);
  void merge(new Stream(eventSource), ticks).until(new Stream(stopSource)).observe(handleSafely);
  return {
    push: (event) => eventSource.push(event),
    stop: () => stopSource.push(null),
  };
}
