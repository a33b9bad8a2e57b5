import { DispatchClient } from '@limpetbay/rpc';

/** The channels of an entry to the agents that it uses, by address. */
export class ChannelPool {
  readonly #clients = new Map<string, DispatchClient>();

  /** Returns the channel to an agent, opened on first use. */
  open(address: string): DispatchClient {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = new DispatchClient(address);
      this.#clients.set(address, client);
    }
    return client;
  }

  /** Replaces one channel; the others are not touched. */
  replace(address: string): void {
    this.#clients.get(address)?.reconnect();
  }

  /** Closes the channels to agents that are no longer listed. */
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
