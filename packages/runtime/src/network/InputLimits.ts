import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  BodyBudget,
  chooseCostliestConnection,
  computeInputBytes,
  type Clock,
} from '@limpetbay/core';
import { ReadQueue } from '../stream/ReadQueue.js';
import { ConnectionInput } from './ConnectionInput.js';

interface InputLimitsOptions {
  readonly clock: Clock;
  /** Most that all connections hold together, bytes; that of a process without settings by default. */
  readonly maxBytes?: number;
  /** Most connections of all limited servers together; no limit by default. */
  readonly maxConnections?: number;
  /** Collects what died young; the engine does so too late, because it does not count reads. */
  readonly collectGarbage?: () => void;
  /** Called when the costliest connection of a server was closed, or refused what has not run. */
  readonly onClosed?: (server: string, cause: 'memory' | 'connections') => void;
}

interface OpenOptions {
  /** Name of the server. */
  readonly server: string;
  readonly maxOpenRequests: number;
  readonly countsAnswers: boolean;
  /** Closes the connection or refuses what it sends. */
  readonly onEvicted: () => void;
}

/** What closing connections hold in addition, compared with the limit of the others. */
const CLOSING_SHARE = 1 / 4;

/**
 * Interval of the reads that are dropped. What is read becomes garbage, and the process exceeds its
 * memory if that grows faster than it is collected.
 */
const DRAIN_INTERVAL_MS = 20;

/** A server whose answers are ready at once handles one request of a connection at a time. */
const MAX_OPEN_REQUESTS = 1;

/**
 * Limits what callers hold of a process by the connections to all of its HTTP servers: bytes that are
 * not parsed, requests and unread answers. Where the limit is exceeded, the costliest connection is
 * closed first, and stalled ones count as costlier.
 */
export class InputLimits {
  readonly #options: InputLimitsOptions;

  readonly #budget: BodyBudget;

  /** Connections that are closing, whose bytes are dropped. */
  readonly #closingBudget: BodyBudget;

  readonly #turns = new ReadQueue((run) => {
    setImmediate(run);
  });

  readonly #drains = new ReadQueue((run) => {
    setTimeout(run, DRAIN_INTERVAL_MS).unref();
  });

  /** Connections of the limited servers. */
  readonly #limited = new Map<Socket, ConnectionInput>();

  #maxConnections: number;

  /** Bytes that were read since garbage was last collected. */
  #readBytes = 0;

  constructor(options: InputLimitsOptions) {
    this.#options = options;
    this.#budget = new BodyBudget(options.maxBytes ?? computeInputBytes(null), options.clock);
    this.#closingBudget = new BodyBudget(this.#budget.getMaxBytes() * CLOSING_SHARE, options.clock);
    this.#maxConnections = options.maxConnections ?? Infinity;
  }

  /** Changes the limits; what exceeds them is closed at once, or with the next connection. */
  setLimits(maxBytes: number, maxConnections = Infinity): void {
    this.#maxConnections = maxConnections;
    this.#budget.setMaxBytes(maxBytes);
    this.#closingBudget.setMaxBytes(maxBytes * CLOSING_SHARE);
  }

  /** Returns what all connections hold together, bytes. */
  countBytes(): number {
    return this.#budget.countBytes() + this.#closingBudget.countBytes();
  }

  getMaxBytes(): number {
    return this.#budget.getMaxBytes();
  }

  /** Returns the number of connections of the limited servers. */
  countConnections(): number {
    return this.#limited.size;
  }

  /** Reads a connection in turns with the others. Called when its server has set it up. */
  open(socket: Socket, options: OpenOptions): ConnectionInput {
    const { maxOpenRequests, countsAnswers, server } = options;
    return new ConnectionInput(socket, {
      clock: this.#options.clock,
      budget: this.#budget,
      closingBudget: this.#closingBudget,
      turns: this.#turns,
      drains: this.#drains,
      maxOpenRequests,
      countsAnswers,
      onRead: (bytes) => this.#handleRead(bytes),
      onEvicted: () => {
        this.#options.onClosed?.(server, 'memory');
        options.onEvicted();
      },
    });
  }

  /**
   * Limits the connections of a server whose answers are ready at once: each has one request at a
   * time, and the next one is read when the connection has taken the answer.
   *
   * @param name name of the server for `onClosed`
   */
  attachServer(server: Server, name: string): void {
    server.on('connection', (socket: Socket) => {
      this.#closeExcess(name);
      const input = this.open(socket, {
        server: name,
        maxOpenRequests: MAX_OPEN_REQUESTS,
        countsAnswers: true,
        onEvicted: () => socket.destroy(),
      });
      this.#limited.set(socket, input);
      socket.on('close', () => this.#limited.delete(socket));
    });
    server.prependListener('request', (message: IncomingMessage, response: ServerResponse) =>
      this.#limited.get(message.socket)?.addRequest(message, response),
    );
  }

  /** Has the reads that were parsed collected before they take much memory. */
  #handleRead(bytes: number): void {
    this.#readBytes += bytes;
    if (this.#readBytes < this.#budget.getMaxBytes() / 2) return;
    this.#readBytes = 0;
    this.#options.collectGarbage?.();
  }

  /** Makes room for one more connection. */
  #closeExcess(server: string): void {
    while (this.#limited.size >= this.#maxConnections) {
      const costliest = chooseCostliestConnection(
        this.#limited.values(),
        this.#options.clock.getNow(),
      );
      if (costliest === null) return;
      for (const [socket, input] of this.#limited) {
        if (input !== costliest) continue;
        this.#limited.delete(socket);
        socket.destroy();
        break;
      }
      this.#options.onClosed?.(server, 'connections');
    }
  }
}
