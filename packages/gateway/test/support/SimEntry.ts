import { DirectAnswer } from '@limpetbay/callers';
import {
  AnswerBudget,
  BodyBudget,
  type Clock,
  type RandomSource,
  type RequestHead,
  type Store,
} from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import { MetricRegistry, type Log } from '@limpetbay/runtime';
import { RealTimers, type EntryNetwork, type GatewayLimits } from '../../src/index.js';
import { EntryCore } from '../../src/process/EntryCore.js';
import { simCodec } from './simCodec.js';
import { buildSimAddress } from './buildSimAddress.js';
import { simLayout } from './simLayout.js';
import { SimStoreLink } from './SimStoreLink.js';

interface SimEntryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly name: string;
  readonly peerAddress: string;
  readonly network: EntryNetwork;
  /** Replaces limits of the deployment. */
  readonly limits?: Partial<GatewayLimits>;
  readonly metrics?: MetricRegistry;
  readonly log?: Log;
}

/** What a caller received. */
interface SimOutcome {
  readonly status: number;
  readonly retryAfterMs: number | null;
  readonly isComplete: boolean;
  /** From the request to the first byte of the answer, milliseconds. */
  readonly firstByteMs: number;
}

const BODY_BUDGET_BYTES = 67_108_864;

const NOOP_LOG: Log = { report: () => {}, warn: () => {}, alert: () => {} };

const MS_PER_SECOND = 1000;

const LIMITS = {
  retryRatio: 0.2,
  retryBurst: 92,
  graceMs: 8000,
  drainMs: 2000,
  addressTtlMs: 5000,
};

/** One entry process of a simulated fleet. */
export class SimEntry {
  readonly name: string;

  readonly peerAddress: string;

  readonly startedMs: number;

  readonly link: SimStoreLink;

  readonly metrics: MetricRegistry;

  readonly #clock: Clock;

  readonly #core: EntryCore;

  readonly #cancels = new Set<() => void>();

  #isRunning = true;

  constructor(options: SimEntryOptions) {
    const { clock, random, store, name, peerAddress, network } = options;
    this.name = name;
    this.peerAddress = peerAddress;
    this.startedMs = clock.getNow();
    this.link = new SimStoreLink(store);
    this.#clock = clock;
    this.metrics = options.metrics ?? new MetricRegistry();
    const bodyBudget = new BodyBudget(BODY_BUDGET_BYTES, clock);
    this.#core = new EntryCore({
      clock,
      random,
      timers: new RealTimers(),
      bodyBudget,
      answerBudget: new AnswerBudget(bodyBudget, clock),
      store: this.link,
      codec: simCodec,
      layout: simLayout,
      self: { name, callerAddress: buildSimAddress(name, 80), peerAddress, zone: 'a' },
      limits: { ...LIMITS, ...options.limits },
      metrics: this.metrics,
      createLog: () => options.log ?? NOOP_LOG,
      network,
      onConfig: () => {},
    });
    this.#core.start();
  }

  isReady(): boolean {
    return this.#isRunning && this.#core.isReady();
  }

  /** Returns the version of the active configuration; 0 before the first one. */
  getConfigVersion(): number {
    return this.#core.getTable()?.config.version ?? 0;
  }

  /** Lists the addresses that this entry names to callers. */
  listAddresses(): string[] {
    return this.#core.listAddresses();
  }

  /** Begins a planned stop: the entry withdraws its registration and goes on serving. */
  beginStop(): void {
    this.#core.beginStop(this.#clock.getNow() + LIMITS.graceMs);
  }

  /** Ends the process without a farewell; its callers get no answers. */
  kill(): void {
    this.#isRunning = false;
    this.link.setCut(true);
    for (const cancel of this.#cancels) cancel();
    this.#core.close();
  }

  handlePeerMessage(message: PeerMessage, from: string): void {
    if (this.#isRunning) this.#core.handlePeerMessage(message, from);
  }

  /** Sends a request as a caller would. */
  call(head: RequestHead, body: Buffer): Promise<SimOutcome> {
    const startMs = this.#clock.getNow();
    return new Promise((resolve) => {
      let status = 0;
      let retryAfterMs: number | null = null;
      let firstByteMs = Infinity;
      const finish = (isComplete: boolean): void => {
        this.#cancels.delete(cancel);
        resolve({ status, retryAfterMs, isComplete, firstByteMs });
      };
      const response = {
        headersSent: false,
        writableLength: 0,
        writeHead: (code: number, headers: readonly string[]) => {
          status = code;
          firstByteMs = this.#clock.getNow() - startMs;
          response.headersSent = true;
          const index = headers.indexOf('Retry-After');
          if (index >= 0) retryAfterMs = Number(headers[index + 1]) * MS_PER_SECOND;
        },
        write: () => true,
        end: () => finish(true),
        destroy: () => finish(false),
      };
      let cancel = (): void => {};
      const answer = new DirectAnswer(response as never, () => false);
      const cancelRun = this.#core.acceptRequest(head, body, answer);
      cancel = () => {
        cancelRun();
        finish(false);
      };
      this.#cancels.add(cancel);
    });
  }
}
