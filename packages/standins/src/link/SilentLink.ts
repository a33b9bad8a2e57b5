import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/**
 * A TCP link between two processes whose open connections can go silent: bytes are dropped in both
 * directions while the sockets stay open, as when a middlebox forgets a connection.
 */
export class SilentLink {
  readonly #host: string;

  readonly #port: number;

  readonly #pairs = new Set<Pair>();

  #server: Server | null = null;

  /** @param address `IP:PORT` of the process behind the link */
  constructor(address: string) {
    const colon = address.lastIndexOf(':');
    this.#host = address.slice(0, colon);
    this.#port = Number(address.slice(colon + 1));
  }

  /** Starts the link. Returns the `IP:PORT` to connect to. */
  async start(): Promise<string> {
    const server = createServer((near) => this.#accept(near));
    await new Promise<void>((resolve) => {
      server.listen(0, this.#host, resolve);
    });
    this.#server = server;
    return `${this.#host}:${(server.address() as AddressInfo).port}`;
  }

  /** Makes all open connections silent for good; new ones work. */
  dropOpen(): number {
    for (const pair of this.#pairs) pair.isSilent = true;
    return this.#pairs.size;
  }

  /** Connections opened since the start. */
  countOpen(): number {
    return this.#pairs.size;
  }

  stop(): void {
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    this.#server?.close();
  }

  #accept(near: Socket): void {
    const far = connect(this.#port, this.#host);
    const pair: Pair = { near, far, isSilent: false };
    this.#pairs.add(pair);
    forward(pair, near, far);
    forward(pair, far, near);
  }
}

function forward(pair: Pair, from: Socket, to: Socket): void {
  from.on('data', (data) => {
    if (!pair.isSilent) to.write(data);
  });
  from.on('end', () => {
    if (!pair.isSilent) to.end();
  });
  from.on('error', () => {
    if (!pair.isSilent) to.destroy();
  });
}
