import type { MetricRegistry } from './MetricRegistry.js';

interface Names {
  readonly messages: string;
  readonly bytes: string;
}

/** Counts the datagrams of a process and their bytes, by direction and kind. */
export class TrafficCounter {
  readonly #metrics: MetricRegistry;

  /** Names of the counters, by direction and kind. */
  readonly #names = { in: new Map<string, Names>(), out: new Map<string, Names>() };

  constructor(metrics: MetricRegistry) {
    this.#metrics = metrics;
  }

  record(direction: 'in' | 'out', kind: string, bytes: number): void {
    let names = this.#names[direction].get(kind);
    if (names === undefined) {
      const labels = `{direction="${direction}",kind="${kind}"}`;
      names = {
        messages: `limpetbay_datagrams_total${labels}`,
        bytes: `limpetbay_datagram_bytes_total${labels}`,
      };
      this.#names[direction].set(kind, names);
    }
    this.#metrics.increase(names.messages);
    this.#metrics.increase(names.bytes, bytes);
  }
}
