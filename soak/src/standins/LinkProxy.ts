import { connect, createServer, type Socket } from 'node:net';

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** Proxy in front of a server whose open connections can go silent; new ones work. */
export class LinkProxy {
  readonly #links = new Set<Link>();

  readonly #server = createServer({ allowHalfOpen: true }, (near) => this.#accept(near));

  constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly farPort: number,
  ) {}

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.port, this.host, resolve);
    });
  }

  /** Open connections stay open and carry nothing more in either direction. */
  suspendLinks(): void {
    for (const link of this.#links) link.isSilent = true;
  }

  close(): void {
    for (const { near, far } of this.#links) {
      near.destroy();
      far.destroy();
    }
    this.#server.close();
  }

  #accept(near: Socket): void {
    const far = connect({ host: this.host, port: this.farPort, allowHalfOpen: true });
    const link = { near, far, isSilent: false };
    this.#links.add(link);
    this.#join(link, near, far);
    this.#join(link, far, near);
  }

  #join(link: Link, from: Socket, to: Socket): void {
    from.on('data', (data) => {
      if (link.isSilent || to.write(data)) return;
      from.pause();
      to.once('drain', () => from.resume());
    });
    from.on('end', () => link.isSilent || to.end());
    from.on('error', () => link.isSilent || to.resetAndDestroy());
    from.on('close', () => {
      // The far side of a silent link is closed too, since the server would keep it for ever.
      if (!link.isSilent || from === link.near) to.destroy();
      this.#links.delete(link);
    });
  }
}
