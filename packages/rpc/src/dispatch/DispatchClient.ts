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

/** The connection of an entry to one agent. */
export class DispatchClient {
  #client: Client;

  readonly #address: string;

  /** @param address `IP:PORT` of the agent */
  constructor(address: string) {
    this.#address = address;
    this.#client = this.#connect();
  }

  /**
   * Sends an attempt to the agent.
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
    let hasEnded = false;
    const notifyEnd = (reason: string, neverSent: boolean): void => {
      if (hasEnded) return;
      hasEnded = true;
      listener.onEnd(reason, neverSent);
    };
    call.on('data', (wireFrame: WireFrame) => {
      const frame: AnswerFrame | null = decodeFrame(wireFrame);
      if (frame !== null && !hasEnded) listener.onFrame(frame);
    });
    call.on('error', (error: Error & { code?: number; details?: string }) => {
      notifyEnd(error.details ?? error.message, isNeverSent(error));
    });
    call.on('end', () => notifyEnd('stream ended', false));
    return () => {
      hasEnded = true;
      call.cancel();
    };
  }

  /** Requests the load report. @returns null if no valid report arrives within 1000 ms */
  getLoad(): Promise<LoadReport | null> {
    return new Promise((resolve) => {
      this.#client.makeUnaryRequest(
        loadMethod.path,
        loadMethod.requestSerialize,
        loadMethod.responseDeserialize as (bytes: Buffer) => unknown,
        {},
        { deadline: Date.now() + PROBE_TIMEOUT_MS },
        (_error, report) => {
          const parsed = LoadReport.safeParse(report);
          resolve(parsed.success ? parsed.data : null);
        },
      );
    });
  }

  /** Opens a new connection for later attempts; attempts in progress stay on the previous one. */
  reconnect(): void {
    const previous = this.#client;
    this.#client = this.#connect();
    previous.close();
  }

  /** Closes the connection after its attempts have ended. */
  close(): void {
    this.#client.close();
  }

  #connect(): Client {
    return new Client(this.#address, credentials.createInsecure(), channelOptions);
  }
}

/**
 * Returns whether the attempt certainly never left this process. grpc-js reports that only through
 * the text of its error for a channel without a connection; with any other error the attempt may have
 * reached the agent.
 */
function isNeverSent(error: { code?: number; details?: string }): boolean {
  if (error.code !== status.UNAVAILABLE) return false;
  return /^No connection established|^Name resolution failed/.test(error.details ?? '');
}
