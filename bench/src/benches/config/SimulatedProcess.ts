import {
  ConfigNode,
  Ok,
  fail,
  type AnnouncedInstance,
  type ConfigPorts,
  type InstanceRecord,
  type RandomSource,
  type RelayEvent,
} from '@limpetbay/core';
import type { SimulatedStore } from './SimulatedStore.js';
import type { Timeline } from './Timeline.js';

interface SimulatedProcessOptions {
  readonly timeline: Timeline;
  readonly random: RandomSource;
  readonly store: SimulatedStore;
  readonly record: InstanceRecord;
  /** Number of this start; grows over restarts. */
  readonly sequence: number;
  readonly listInstances: () => readonly InstanceRecord[];
  readonly findProcess: (id: string) => SimulatedProcess | undefined;
  /** Tells whether messages between a zone and another one, or the store, arrive. */
  readonly isConnected: (zone: string, other: string | null) => boolean;
  /** One-way latency between two zones, milliseconds. */
  readonly pickLatency: (from: string, to: string) => number;
}

const TICK_MS = 100;
const LIST_LATENCY_MS = 20;
const STORE_TIMEOUT_MS = 1000;

/** One process of the fleet: the real configuration logic over links inside this process. */
export class SimulatedProcess {
  readonly node: ConfigNode;

  readonly record: InstanceRecord;

  /** When each document revision came into force here. */
  readonly inForceAt = new Map<number, number>();

  readonly #options: SimulatedProcessOptions;

  readonly #closers = new Set<() => void>();

  #state: 'running' | 'paused' | 'dead' = 'running';

  #isSilent = false;

  /** What reached the process while it was paused. */
  #waiting: (() => void)[] = [];

  #heartbeats = 0;

  constructor(options: SimulatedProcessOptions) {
    const { timeline, random, record, sequence } = options;
    this.#options = options;
    this.record = record;
    const self: AnnouncedInstance = { record, sequence };
    this.node = new ConfigNode({
      self,
      clock: timeline.clock,
      random,
      ports: this.#createPorts(),
      onChange: ({ revision }) => {
        if (!this.inForceAt.has(revision)) this.inForceAt.set(revision, timeline.clock.getNow());
      },
    });
    timeline.schedule(random.next() * TICK_MS, () => this.#tick());
  }

  get isRunning(): boolean {
    return this.#state === 'running';
  }

  /** Heartbeats that this process has sent to followers. */
  countHeartbeats(): number {
    return this.#heartbeats;
  }

  /** Ends the process. A silent end leaves its connections open, as a lost machine does. */
  stop(isSilent: boolean): void {
    this.#state = 'dead';
    this.#isSilent = isSilent;
    this.node.stop();
    if (isSilent) return;
    for (const close of [...this.#closers]) close();
  }

  /** Stops the process for a while; what arrives waits. */
  sleep(durationMs: number): void {
    this.#state = 'paused';
    this.#options.timeline.schedule(durationMs, () => {
      if (this.#state !== 'paused') return;
      this.#state = 'running';
      const waiting = this.#waiting;
      this.#waiting = [];
      for (const event of waiting) event();
    });
  }

  /** Runs an event of this process now, after its pause, or never. */
  receive(event: () => void): void {
    if (this.#state === 'running') event();
    else if (this.#state === 'paused') this.#waiting.push(event);
  }

  /** Serves a follower. @returns null where nothing answers */
  accept(
    self: AnnouncedInstance,
    known: ReadonlyMap<string, number>,
    send: (event: RelayEvent) => void,
    end: () => void,
  ): (() => void) | null {
    if (this.#state === 'dead') {
      if (!this.#isSilent) end();
      return null;
    }
    let remove = (): void => undefined;
    let isOpen = true;
    this.receive(() => {
      if (!isOpen) return;
      remove = this.node.addFollower(self, known, {
        send: (event) => {
          if (event.kind === 'heartbeat') this.#heartbeats += 1;
          send(event);
        },
        isFull: () => false,
      });
    });
    this.#closers.add(end);
    return () => {
      isOpen = false;
      remove();
      this.#closers.delete(end);
    };
  }

  #tick(): void {
    if (this.#state === 'dead') return;
    if (this.#state === 'running') this.node.tick();
    this.#options.timeline.schedule(TICK_MS, () => this.#tick());
  }

  #reachesStore(): boolean {
    return this.#options.isConnected(this.record.zone, null);
  }

  #createPorts(): ConfigPorts {
    const { timeline, store, listInstances } = this.#options;
    return {
      readDocuments: (respond) => {
        if (this.#reachesStore()) {
          store.readDocuments((answer) => this.receive(() => respond(answer)));
          return;
        }
        const answer = fail('store_unavailable', 'timed out');
        timeline.schedule(STORE_TIMEOUT_MS, () => this.receive(() => respond(answer)));
      },
      watchDocuments: (fromRevision, listener) =>
        store.watchDocuments(fromRevision, {
          onChange: (change) => {
            if (this.#reachesStore()) this.receive(() => listener.onChange(change));
          },
          onProgress: (revision) => {
            if (this.#reachesStore()) this.receive(() => listener.onProgress(revision));
          },
          onEnd: (reason) => this.receive(() => listener.onEnd(reason)),
        }),
      fetchInstances: (respond) =>
        timeline.schedule(LIST_LATENCY_MS, () => this.receive(() => respond(Ok(listInstances())))),
      followPeer: (peer, self, known, listener) => this.#follow(peer, self, known, listener),
      notifyPeer: (peer, self) => {
        const delayMs = this.#options.pickLatency(this.record.zone, peer.zone);
        timeline.schedule(delayMs, () => {
          const other = this.#options.findProcess(peer.id);
          other?.receive(() => other.node.handleAnnouncement(self));
        });
      },
      warn: () => undefined,
    };
  }

  #follow(
    peer: InstanceRecord,
    self: AnnouncedInstance,
    known: ReadonlyMap<string, number>,
    listener: Parameters<ConfigPorts['followPeer']>[3],
  ): () => void {
    const { timeline, findProcess, pickLatency, isConnected } = this.#options;
    // One latency for the whole link keeps its events in order.
    const latencyMs = pickLatency(this.record.zone, peer.zone);
    let isOpen = true;
    let remove: (() => void) | null = null;
    const accept = (event: () => void): void => {
      if (!isConnected(this.record.zone, peer.zone)) return;
      timeline.schedule(latencyMs, () => this.receive(() => isOpen && event()));
    };
    timeline.schedule(latencyMs, () => {
      if (!isOpen || !isConnected(this.record.zone, peer.zone)) return;
      const end = (): void => accept(() => listener.onEnd());
      const other = findProcess(peer.id);
      if (other === undefined) end();
      else {
        remove = other.accept(self, known, (event) => accept(() => listener.onEvent(event)), end);
      }
    });
    return () => {
      isOpen = false;
      timeline.schedule(latencyMs, () => remove?.());
    };
  }
}
