import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { InputLimits } from '@limpetbay/runtime';
import { CallerConnection } from './CallerConnection.js';

/** The connections of a server for callers. */
export class CallerConnections {
  readonly #server: Server;

  readonly #inputs: InputLimits;

  readonly #connections = new Map<Socket, CallerConnection>();

  /**
   * Handles the timeouts and errors of the connections of a server.
   *
   * @param inputs limits what all connections hold together
   */
  constructor(server: Server, inputs: InputLimits) {
    this.#server = server;
    this.#inputs = inputs;
    server.on('connection', (socket: Socket) => this.#getConnection(socket));
    server.on('timeout', (socket) => this.#getConnection(socket).closeIfIdle());
    server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#getConnection(socket as Socket).handleError(error),
    );
    server.on('connect', (_, socket) => this.#getConnection(socket as Socket).rejectTunnel());
  }

  /**
   * Adds a request whose head has arrived.
   *
   * @returns its connection
   */
  addRequest(message: IncomingMessage, response: ServerResponse): CallerConnection {
    const connection = this.#getConnection(message.socket);
    connection.addRequest(message, response);
    return connection;
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
      connection = new CallerConnection(socket, this.#inputs, () => this.#server.keepAliveTimeout);
      this.#connections.set(socket, connection);
      socket.on('close', () => this.#connections.delete(socket));
    }
    return connection;
  }
}
