import { DispatchClient } from '@limpetbay/rpc';

/** The connections of an entry to its agents, by address. */
export class ConnectionPool {
  readonly #clients = new Map<string, DispatchClient>();

  /** Returns the connection to an agent, opened on first use. */
  open(address: string): DispatchClient {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = new DispatchClient(address);
      this.#clients.set(address, client);
    }
    return client;
  }

  /** Replaces the connection to one agent; the others stay open. */
  replace(address: string): void {
    this.#clients.get(address)?.reconnect();
  }

  /** Closes the connections to agents that are no longer in the instance list. */
  prune(listed: ReadonlySet<string>): void {
    for (const [address, client] of this.#clients) {
      if (listed.has(address)) continue;
      client.close();
      this.#clients.delete(address);
    }
  }

  close(): void {
    for (const client of this.#clients.values()) client.close();
    this.#clients.clear();
  }
}
