import { Client, credentials, status, type ClientReadableStream } from '@grpc/grpc-js';
import { LoadReport, type AnswerFrame, type Attempt } from '@limpetbay/core';
import { channelOptions } from '../channel/channelOptions.js';
import { decodeFrame } from './decodeFrame.js';
import { dispatchService } from './dispatchService.js';
import type { DispatchListener } from './DispatchListener.js';
import type { WireFrame } from './WireFrame.js';

const runMethod = dispatchService.Run!;
const loadMethod = dispatchService.GetLoad!;
const PROBE_TIMEOUT_MS = 1000;

/** The channel of an entry to one agent. */
export class DispatchClient {
  #client: Client;

  readonly #address: string;

  /** @param address `IP:PORT` of the agent */
  constructor(address: string) {
    this.#address = address;
    this.#client = this.#connect();
  }

  /**
   * Sends an attempt.
   *
   * @param listener receives the frames and the end of the stream
   * @returns a function that cancels the attempt
   */
  send(attempt: Attempt, listener: DispatchListener): () => void {
    const call: ClientReadableStream<WireFrame> = this.#client.makeServerStreamRequest(
      runMethod.path,
      runMethod.requestSerialize,
      runMethod.responseDeserialize as (bytes: Buffer) => WireFrame,
      attempt,
    );
    let ended = false;
    const finish = (reason: string, neverSent: boolean): void => {
      if (ended) return;
      ended = true;
      listener.acceptEnd(reason, neverSent);
    };
    call.on('data', (wire: WireFrame) => {
      const frame: AnswerFrame | null = decodeFrame(wire);
      if (frame !== null && !ended) listener.acceptFrame(frame);
    });
    call.on('error', (error: Error & { code?: number; details?: string }) => {
      finish(error.details ?? error.message, isNeverSent(error));
    });
    call.on('end', () => finish('stream ended', false));
    return () => {
      ended = true;
      call.cancel();
    };
  }

  /** Asks for the load report. @returns null where no answer came within 1000 ms */
  getLoad(): Promise<LoadReport | null> {
    return new Promise((resolve) => {
      this.#client.makeUnaryRequest(
        loadMethod.path,
        loadMethod.requestSerialize,
        loadMethod.responseDeserialize as (bytes: Buffer) => unknown,
        {},
        { deadline: Date.now() + PROBE_TIMEOUT_MS },
        (_error, report) => {
          const checked = LoadReport.safeParse(report);
          resolve(checked.success ? checked.data : null);
        },
      );
    });
  }

  /** Opens a new connection for later attempts; attempts in progress stay on the old one. */
  replaceChannel(): void {
    const old = this.#client;
    this.#client = this.#connect();
    old.close();
  }

  /** Closes the channel once its attempts have ended. */
  close(): void {
    this.#client.close();
  }

  #connect(): Client {
    return new Client(this.#address, credentials.createInsecure(), channelOptions);
  }
}

/**
 * Tells whether the attempt surely never left this process. grpc-js says so by its own text for a
 * channel that has no connection; every other failure may have reached the agent.
 */
function isNeverSent(error: { code?: number; details?: string }): boolean {
  if (error.code !== status.UNAVAILABLE) return false;
  return /^No connection established|^Name resolution failed/.test(error.details ?? '');
}
