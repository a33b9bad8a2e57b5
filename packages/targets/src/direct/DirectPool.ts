import type { Clock } from '@limpetbay/core';
import type { DirectCall } from './DirectCall.js';
import { DirectConnection } from './DirectConnection.js';
import type { DirectListener } from './DirectListener.js';

interface IdleConnection {
  readonly connection: DirectConnection;
  readonly idleSinceMs: number;
}

/** Most idle connections that are kept open to one target. */
const MAX_IDLE_CONNECTIONS = 16;

/** The connections of this process to one target address. */
export class DirectPool {
  readonly #address: string;

  readonly #clock: Clock;

  /** Idle connections, the most recently used one last. */
  #idle: IdleConnection[] = [];

  readonly #open = new Set<DirectConnection>();

  constructor(address: string, clock: Clock) {
    this.#address = address;
    this.#clock = clock;
  }

  /** Sends a call on an idle connection or a new one. @returns a function that cancels the call */
  send(call: DirectCall, listener: DirectListener): () => void {
    const connection = this.#takeIdle(call.maxIdleMs) ?? this.#openConnection();
    return connection.send(call, listener);
  }

  /** Closes connections that have been idle for more than `maxIdleMs` milliseconds. */
  closeIdle(maxIdleMs: number): void {
    const oldestMs = this.#clock.getNow() - maxIdleMs;
    const kept: IdleConnection[] = [];
    const stale: IdleConnection[] = [];
    for (const idle of this.#idle) (idle.idleSinceMs < oldestMs ? stale : kept).push(idle);
    this.#idle = kept;
    for (const { connection } of stale) connection.close();
  }

  /** Returns the number of open connections, idle or in use. */
  count(): number {
    return this.#open.size;
  }

  close(): void {
    for (const connection of [...this.#open]) connection.close();
  }

  #takeIdle(maxIdleMs: number): DirectConnection | null {
    for (;;) {
      const newest = this.#idle[this.#idle.length - 1];
      if (newest === undefined) return null;
      if (this.#clock.getNow() - newest.idleSinceMs > maxIdleMs) return null;
      this.#idle.pop();
      if (newest.connection.isUsable()) return newest.connection;
      newest.connection.close();
    }
  }

  #openConnection(): DirectConnection {
    const connection: DirectConnection = new DirectConnection(this.#address, {
      onIdle: () => this.#addIdle(connection),
      onClosed: () => this.#remove(connection),
    });
    this.#open.add(connection);
    return connection;
  }

  #addIdle(connection: DirectConnection): void {
    if (this.#idle.length >= MAX_IDLE_CONNECTIONS) {
      connection.close();
      return;
    }
    this.#idle.push({ connection, idleSinceMs: this.#clock.getNow() });
  }

  #remove(connection: DirectConnection): void {
    this.#open.delete(connection);
    this.#idle = this.#idle.filter((idle) => idle.connection !== connection);
  }
}
