import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { CallerConnection } from './CallerConnection.js';

/** Share of the most connections that is kept free for new callers, by closing idle connections. */
const RESERVED_SHARE = 0.1;

/** The connections of a server for callers. */
export class CallerConnections {
  readonly #server: Server;

  readonly #connections = new Map<Socket, CallerConnection>();

  /** Connections without a request; the one that has been idle longest comes first. */
  readonly #idle = new Set<CallerConnection>();

  /** Handles the timeouts and errors of the connections of a server. */
  constructor(server: Server) {
    this.#server = server;
    server.on('connection', (socket: Socket) => {
      this.#getConnection(socket);
      this.#reserveConnections();
    });
    server.on('timeout', (socket) => this.#getConnection(socket).closeIfIdle());
    server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#getConnection(socket as Socket).handleError(error),
    );
    server.on('connect', (_, socket) => this.#getConnection(socket as Socket).rejectTunnel());
  }

  /**
   * Adds a request whose head has arrived.
   *
   * @returns its connection; null if the request was refused
   */
  addRequest(message: IncomingMessage, response: ServerResponse): CallerConnection | null {
    const connection = this.#getConnection(message.socket);
    return connection.addRequest(message, response) ? connection : null;
  }

  /** Returns the number of connections whose last answer is written, but not yet read. */
  countClosing(): number {
    let count = 0;
    for (const connection of this.#connections.values()) if (connection.isClosing()) count += 1;
    return count;
  }

  #getConnection(socket: Socket): CallerConnection {
    let connection = this.#connections.get(socket);
    if (connection === undefined) {
      const created = new CallerConnection({
        socket,
        getIdleTimeoutMs: () => this.#server.keepAliveTimeout,
        onIdleChange: (isIdle) => {
          this.#idle.delete(created);
          if (isIdle && !socket.destroyed) this.#idle.add(created);
        },
      });
      connection = created;
      this.#connections.set(socket, created);
      this.#idle.add(created);
      socket.on('close', () => {
        this.#connections.delete(socket);
        this.#idle.delete(created);
      });
    }
    return connection;
  }

  /** Closes the connection that has been idle longest if few are left for new callers. */
  #reserveConnections(): void {
    const { maxConnections } = this.#server;
    if (!maxConnections) return;
    const reserved = Math.max(1, Math.ceil(maxConnections * RESERVED_SHARE));
    if (this.#connections.size <= maxConnections - reserved) return;
    const [longestIdle] = this.#idle;
    if (longestIdle === undefined) return;
    this.#idle.delete(longestIdle);
    longestIdle.closeIfIdle();
  }
}
