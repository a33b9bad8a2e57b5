import type { AnswerFrame } from '@limpetbay/core';
import type { Connection } from './Connection.js';
import type { SimAgent } from './SimAgent.js';
import type { SimEntry } from './SimEntry.js';
import type { AttemptStream } from './AttemptStream.js';
import type { Simulation } from './Simulation.js';

interface StreamAddress {
  readonly entry: SimEntry;
  readonly processIncarnation: number;
  readonly streamId: string;
}

/**
 * The network between entries and agents. It delays, duplicates and reorders messages, delivers some
 * frames to a stream that they do not belong to, and drops everything on stalled connections. A
 * connection ends when either of its processes ends.
 */
export class SimNetwork {
  readonly #simulation: Simulation;

  readonly #misroutes = new Map<string, StreamAddress | null>();

  #connectionCount = 0;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  createConnection(entry: SimEntry, agent: SimAgent): Connection {
    this.#connectionCount += 1;
    return {
      id: `${entry.name}-${agent.name}-${this.#connectionCount}`,
      entry,
      entryIncarnation: entry.process.getIncarnation(),
      agent,
      agentIncarnation: agent.process.getIncarnation(),
      stalled: false,
    };
  }

  sendAttempt(stream: AttemptStream): void {
    const { random, queue } = this.#simulation;
    const { connection } = stream;
    const { agent, agentIncarnation } = connection;
    if (!agent.process.isUp(agentIncarnation)) {
      queue.schedule(this.#drawDelay(), () => this.endConnection(connection));
      return;
    }
    const copies = random.next() < 0.05 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      queue.schedule(this.#drawDelay() + copy * random.next() * 800, () => {
        if (!connection.stalled) agent.process.run(agentIncarnation, () => agent.handle(stream));
      });
    }
  }

  sendFrame(stream: AttemptStream, frame: AnswerFrame): void {
    const { random, queue } = this.#simulation;
    const { entry, entryIncarnation } = stream.connection;
    const send = (to: SimEntry, processIncarnation: number, streamId: string) => {
      queue.schedule(this.#drawDelay(), () => {
        if (stream.connection.stalled) return;
        to.process.run(processIncarnation, () => to.handleFrame(streamId, frame));
      });
    };
    send(entry, entryIncarnation, stream.id);
    const draw = random.next();
    if (draw < 0.03) send(entry, entryIncarnation, stream.id);
    const misroute = draw < 0.06 ? this.#pickStream() : this.#findMisroute(stream);
    if (misroute !== null) send(misroute.entry, misroute.processIncarnation, misroute.streamId);
  }

  /** Returns the stream that gets a copy of every frame of `stream`; null for most streams. */
  #findMisroute(stream: AttemptStream): StreamAddress | null {
    const existing = this.#misroutes.get(stream.id);
    if (existing !== undefined) return existing;
    const misroute = this.#simulation.random.next() < 0.05 ? this.#pickStream() : null;
    this.#misroutes.set(stream.id, misroute);
    return misroute;
  }

  #pickStream(): StreamAddress | null {
    const { random, entries } = this.#simulation;
    const entry = entries[Math.floor(random.next() * entries.length)] as SimEntry;
    const streams = entry.listStreams();
    const streamId = streams[Math.floor(random.next() * streams.length)];
    return streamId === undefined
      ? null
      : { entry, processIncarnation: entry.process.getIncarnation(), streamId };
  }

  /** Reports the break of a connection to its entry, unless the connection is stalled. */
  endConnection(connection: Connection): void {
    if (connection.stalled) return;
    const { entry, entryIncarnation } = connection;
    entry.process.run(entryIncarnation, () => entry.handleDisconnect(connection));
  }

  #drawDelay(): number {
    const { random } = this.#simulation;
    const delayMs = 1 + random.next() * 4;
    return random.next() < 0.02 ? delayMs + random.next() * 400 : delayMs;
  }
}
