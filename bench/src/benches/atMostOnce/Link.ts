import type { AnswerFrame } from '@limpetbay/core';
import type { Connection } from './Connection.js';
import type { SimAgent } from './SimAgent.js';
import type { SimEntry } from './SimEntry.js';
import type { Stream } from './Stream.js';
import type { World } from './World.js';

interface Crossing {
  readonly entry: SimEntry;
  readonly life: number;
  readonly streamId: string;
}

/**
 * The network between entries and agents: delays, duplicates, disorder, frames that reach another
 * stream, and connections that went silent. A connection ends with either of its processes.
 */
export class Link {
  readonly #world: World;

  readonly #crossings = new Map<string, Crossing | null>();

  #connections = 0;

  constructor(world: World) {
    this.#world = world;
  }

  createConnection(entry: SimEntry, agent: SimAgent): Connection {
    this.#connections += 1;
    return {
      id: `${entry.name}-${agent.name}-${this.#connections}`,
      entry,
      entryLife: entry.process.getLife(),
      agent,
      agentLife: agent.process.getLife(),
      silent: false,
    };
  }

  sendAttempt(stream: Stream): void {
    const { random, queue } = this.#world;
    const { connection } = stream;
    const { agent, agentLife } = connection;
    if (!agent.process.isUp(agentLife)) {
      queue.schedule(this.#drawDelay(), () => this.endConnection(connection));
      return;
    }
    const copies = random.next() < 0.05 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      queue.schedule(this.#drawDelay() + copy * random.next() * 800, () => {
        if (!connection.silent) agent.process.run(agentLife, () => agent.accept(stream));
      });
    }
  }

  sendFrame(stream: Stream, frame: AnswerFrame): void {
    const { random, queue } = this.#world;
    const { entry, entryLife } = stream.connection;
    const send = (to: SimEntry, life: number, streamId: string) => {
      queue.schedule(this.#drawDelay(), () => {
        if (stream.connection.silent) return;
        to.process.run(life, () => to.acceptFrame(streamId, frame));
      });
    };
    send(entry, entryLife, stream.id);
    const draw = random.next();
    if (draw < 0.03) send(entry, entryLife, stream.id);
    const crossed = draw < 0.06 ? this.#pickStream() : this.#findCrossing(stream);
    if (crossed !== null) send(crossed.entry, crossed.life, crossed.streamId);
  }

  /** Some streams have all their frames delivered to another stream as well. */
  #findCrossing(stream: Stream): Crossing | null {
    const known = this.#crossings.get(stream.id);
    if (known !== undefined) return known;
    const crossing = this.#world.random.next() < 0.05 ? this.#pickStream() : null;
    this.#crossings.set(stream.id, crossing);
    return crossing;
  }

  #pickStream(): Crossing | null {
    const { random, entries } = this.#world;
    const entry = entries[Math.floor(random.next() * entries.length)] as SimEntry;
    const streams = entry.listStreams();
    const streamId = streams[Math.floor(random.next() * streams.length)];
    return streamId === undefined ? null : { entry, life: entry.process.getLife(), streamId };
  }

  /** Tells the entry that a connection broke, unless it went silent. */
  endConnection(connection: Connection): void {
    if (connection.silent) return;
    const { entry, entryLife } = connection;
    entry.process.run(entryLife, () => entry.acceptLoss(connection));
  }

  #drawDelay(): number {
    const { random } = this.#world;
    const delayMs = 1 + random.next() * 4;
    return random.next() < 0.02 ? delayMs + random.next() * 400 : delayMs;
  }
}
