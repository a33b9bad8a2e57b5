import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

interface ProxiedConnection {
  readonly client: Socket;
  readonly upstream: Socket;
  isStalled: boolean;
}

/**
 * A TCP proxy that can stall its open connections: it drops the bytes in both directions while the
 * sockets stay open, as when a middlebox drops its state of a connection.
 */
export class StallingProxy {
  readonly #host: string;

  readonly #port: number;

  readonly #connections = new Set<ProxiedConnection>();

  #server: Server | null = null;

  /** @param address `IP:PORT` of the upstream process */
  constructor(address: string) {
    const colonIndex = address.lastIndexOf(':');
    this.#host = address.slice(0, colonIndex);
    this.#port = Number(address.slice(colonIndex + 1));
  }

  /** Starts the proxy. @returns the `IP:PORT` to connect to */
  async start(): Promise<string> {
    const server = createServer((client) => this.#accept(client));
    await new Promise<void>((resolve) => {
      server.listen(0, this.#host, resolve);
    });
    this.#server = server;
    return `${this.#host}:${(server.address() as AddressInfo).port}`;
  }

  /** Stalls all open connections permanently; new ones work. @returns `countConnections()` */
  setConnectionsStalled(): number {
    for (const connection of this.#connections) connection.isStalled = true;
    return this.#connections.size;
  }

  /** Counts the connections opened since the start, including closed ones. */
  countConnections(): number {
    return this.#connections.size;
  }

  stop(): void {
    for (const { client, upstream } of this.#connections) {
      client.destroy();
      upstream.destroy();
    }
    this.#server?.close();
  }

  #accept(client: Socket): void {
    const upstream = connect(this.#port, this.#host);
    const connection: ProxiedConnection = { client, upstream, isStalled: false };
    this.#connections.add(connection);
    forward(connection, client, upstream);
    forward(connection, upstream, client);
  }
}

function forward(connection: ProxiedConnection, from: Socket, to: Socket): void {
  from.on('data', (data) => {
    if (!connection.isStalled) to.write(data);
  });
  from.on('end', () => {
    if (!connection.isStalled) to.end();
  });
  from.on('error', () => {
    if (!connection.isStalled) to.destroy();
  });
}
