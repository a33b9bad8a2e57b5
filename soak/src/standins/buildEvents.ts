const EVENTS = 8;

/** Builds the events of a stream, each with its id from 1 on. */
export function buildEvents(requestId: string): string[] {
  const events: string[] = [];
  for (let event = 1; event <= EVENTS; event += 1) {
    events.push(`id: ${event}\ndata: ${requestId} ${event} of ${EVENTS}\n\n`);
  }
  return events;
}
