import { Agent, request as openRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import {
  Ok,
  evaluateStatus,
  fail,
  hasValidHeaderNames,
  parseAddress,
  type Failure,
  type Result,
} from '@limpetbay/core';
import { receiveBody, scheduleTimer } from '@limpetbay/runtime';
import { hasBody } from '../connection/hasBody.js';
import { probeReset } from '../connection/probeReset.js';
import { resetProbeMs } from '../connection/resetProbeMs.js';
import type { AnswerTransport } from './AnswerTransport.js';
import type { DirectCall } from './DirectCall.js';
import type { DirectListener } from './DirectListener.js';

interface ConnectionEvents {
  /** The connection can carry the next call. */
  readonly onIdle: () => void;
  /** The connection is closed and must not be used again. */
  readonly onClosed: () => void;
}

/** A connection within a region takes a few milliseconds; a lost SYN is sent again after 1 s. */
const CONNECT_TIMEOUT_MS = 1300;

/** Short, so that a host that lost power is detected within seconds. */
const TCP_KEEPALIVE_MS = 1000;

/** Most bytes until the head of the final answer is complete, with those of informational heads. */
const MAX_HEAD_BYTES = 65_536;

/**
 * Most bytes of an answer besides its body, beyond a share of the body. Chunks of a few bytes cost
 * far more processor time than their bytes do.
 */
const MAX_FRAMING_BYTES = 262_144;

const FRAMING_SHARE = 1 / 4;

/**
 * Bytes of an answer that may wait in the kernel. A target that has sent them may have closed the
 * connection behind them, which shows only after they were read.
 */
const LARGE_ANSWER_BYTES = 65_536;

/** Longest time for which a large answer is read before its connection is not used again. */
const MAX_LARGE_ANSWER_MS = 500;

/**
 * One connection to a target with at most one request at a time. It is closed after an incomplete
 * answer and after any byte outside an answer, so that late bytes are never read as the answer to
 * another request.
 */
export class DirectConnection {
  readonly #address: ReturnType<typeof parseAddress>;

  readonly #events: ConnectionEvents;

  /** Keeps the connection open between calls. */
  readonly #agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: TCP_KEEPALIVE_MS,
    maxSockets: 1,
    maxFreeSockets: 1,
  });

  #socket: Socket | null = null;

  /** Whether the connection was reset; an answer without a length is then incomplete. */
  #isReset = false;

  #isClosed = false;

  /** Answers whose heads have arrived. */
  #answerCount = 0;

  /** Whether the target may have closed the connection while its answer was read. */
  #mayBeClosed = false;

  readonly #closeOnData = (): void => this.close();

  /** @param address `IP:PORT` */
  constructor(address: string, events: ConnectionEvents) {
    this.#address = parseAddress(address);
    this.#events = events;
    this.#agent.on('free', (socket: Socket) => {
      // The agent has ended the connection if the answer announced its end.
      if (this.#isClosed || this.#mayBeClosed || !socket.writable) {
        this.close();
        return;
      }
      socket.on('data', this.#closeOnData);
      this.#events.onIdle();
    });
  }

  /** Returns whether the target has not begun to close the connection. */
  isUsable(): boolean {
    return this.#socket !== null && this.#socket.readable && this.#socket.writable;
  }

  /** Sends a call. @returns a function that cancels the call and closes the connection */
  send(call: DirectCall, listener: DirectListener): () => void {
    let isFinished = false;
    let isConnected = false;
    const reportFailure = (message: string): void => {
      if (isFinished) return;
      isFinished = true;
      this.close();
      listener.onFailure(message, !isConnected);
    };
    const cancel = (): void => {
      isFinished = true;
      this.close();
    };
    const opened = this.#openRequest(call);
    if (opened.err) {
      // Callers expect the outcome after `send` has returned.
      setImmediate(() => reportFailure(opened.val.message));
      return cancel;
    }
    const request = opened.val;
    let hasHead = false;
    let earlierBytes = 0;
    const countReceivedBytes = (): number => (this.#socket?.bytesRead ?? 0) - earlierBytes;
    const checkHead = (): void => {
      if (!hasHead && countReceivedBytes() > MAX_HEAD_BYTES) {
        reportFailure(`no head of an answer within ${MAX_HEAD_BYTES} bytes`);
      }
    };
    request.on('socket', (socket) => {
      this.#watchSocket(socket);
      isConnected = !socket.connecting;
      earlierBytes = socket.bytesRead;
      socket.removeListener('data', this.#closeOnData);
      socket.on('data', checkHead);
      request.once('close', () => socket.removeListener('data', checkHead));
      if (!socket.connecting) return;
      const cancelTimer = scheduleTimer(CONNECT_TIMEOUT_MS, () =>
        reportFailure('the connection was not established in time'),
      );
      socket.once('connect', () => {
        cancelTimer();
        isConnected = true;
      });
      socket.once('close', cancelTimer);
    });
    let isWhole = (): boolean => false;
    request.on('error', (error) => {
      // After the last byte of an answer, other bytes or a reset only end the connection.
      if (isWhole()) this.close();
      else reportFailure(error.message);
    });
    const reportStatus = ({ statusCode }: IncomingMessage): void =>
      reportFailure(`the status ${statusCode} of the answer is not valid`);
    // Without a listener, Node.js closes the connection and reports no error.
    request.on('upgrade', reportStatus);
    request.on('response', (response) => {
      if (isFinished) return;
      // Node.js reports informational heads by another event, but for 101.
      if (evaluateStatus(response.statusCode ?? 0) !== 'final') {
        reportStatus(response);
        return;
      }
      if (!hasValidHeaderNames(response.rawHeaders)) {
        reportFailure('the answer has a header name that is not valid');
        return;
      }
      hasHead = true;
      const framing = readFraming(call.method, response);
      let bodyBytes = 0;
      const headMs = performance.now();
      isWhole = () => response.complete && framing !== 'close';
      const isFirst = this.#answerCount === 0;
      this.#answerCount += 1;
      const length = framing === 'length' ? Number(response.headers['content-length']) : null;
      const { socket } = response;
      const setPaused = (isPaused: boolean): void => {
        if (!isPaused) socket.resume();
        else if (!response.complete) socket.pause();
      };
      const transport = { framing, length, isFirst, setPaused };
      listener.onHead(response.statusCode ?? 0, response.headers, transport);
      this.#receiveBody(response, framing, {
        onData: (data) => {
          if (isFinished) return;
          bodyBytes += data.length;
          const framingBytes = countReceivedBytes() - bodyBytes;
          if (framingBytes > MAX_FRAMING_BYTES + bodyBytes * FRAMING_SHARE) {
            reportFailure('the chunks of the answer are too small');
          } else listener.onData(data);
        },
        onEnd: () => {
          if (isFinished) return;
          isFinished = true;
          const isSlow = performance.now() - headMs > MAX_LARGE_ANSWER_MS;
          this.#mayBeClosed = isSlow && bodyBytes > LARGE_ANSWER_BYTES;
          // The next call may use the connection.
          socket.resume();
          listener.onEnd();
        },
        onFailure: reportFailure,
      });
    });
    request.end(call.body ?? undefined);
    return cancel;
  }

  /** Opens a request; fails where Node.js would throw, as for a header value that is not valid. */
  #openRequest(call: DirectCall): Result<ClientRequest, Failure> {
    const address = this.#address;
    if (address.err) return address;
    const { host, port } = address.val;
    try {
      const headers = listHeaders(call, `${host}:${port}`);
      return Ok(
        openRequest({
          agent: this.#agent,
          host,
          port,
          method: call.method,
          path: call.url,
          headers,
        }),
      );
    } catch (error) {
      return fail('bad_request', `the request cannot be written: ${(error as Error).message}`);
    }
  }

  /** Receives the rest of an answer; its listener may be called after the end. */
  #receiveBody(
    response: IncomingMessage,
    framing: AnswerTransport['framing'],
    listener: Omit<DirectListener, 'onHead'>,
  ): void {
    const { socket } = response;
    const isFramed = framing !== 'close';
    const finish = (): void => {
      if (response.complete && (isFramed || !this.#isReset)) listener.onEnd();
      else listener.onFailure('the connection was reset before the end of the answer', false);
    };
    const receive = receiveBody(response, (data) => listener.onData(data));
    response.on('error', (error) => {
      receive();
      listener.onFailure(error.message, false);
    });
    response.on('close', () => {
      receive();
      if (!response.complete) {
        listener.onFailure('the connection closed before the end of the answer', false);
      } else if (isFramed) finish();
    });
    response.on('end', () => {
      if (isFramed) finish();
      else setTimeout(finish, resetProbeMs);
    });
    if (isFramed) return;
    socket.prependListener('end', () =>
      probeReset(socket, () => {
        this.#isReset = true;
      }),
    );
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#agent.destroy();
    this.#socket?.destroy();
    this.#events.onClosed();
  }

  #watchSocket(socket: Socket): void {
    if (this.#socket === socket) return;
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.prependListener('error', () => {
      this.#isReset = true;
    });
    socket.once('close', () => this.close());
  }
}

/** @param address `IP:PORT`, the default of the `Host` header */
function listHeaders({ method, headers, body }: DirectCall, address: string): string[] {
  const hasHost = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'host');
  const fields = hasHost ? [...headers] : ['Host', address, ...headers];
  if (body !== null || method !== 'GET') fields.push('Content-Length', String(body?.length ?? 0));
  return fields;
}

function readFraming(
  method: string,
  { statusCode = 0, headers }: IncomingMessage,
): AnswerTransport['framing'] {
  if (!hasBody(method, statusCode)) return 'none';
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'close' : 'length';
}
