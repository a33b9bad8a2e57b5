import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  chooseInputBytes,
  computeInputWeight,
  type BodyBudget,
  type BudgetedBody,
  type Clock,
} from '@limpetbay/core';
import type { ReadQueue } from '../stream/ReadQueue.js';

interface ConnectionInputOptions {
  readonly clock: Clock;
  /** Limits what all connections hold together. */
  readonly budget: BodyBudget;
  /** Limits what connections hold whose bytes are dropped, while their callers may read the answer. */
  readonly closingBudget: BodyBudget;
  /** Turns of the connections whose bytes take more than one. */
  readonly turns: ReadQueue;
  /** Turns of the connections whose bytes are dropped. */
  readonly drains: ReadQueue;
  /** Most requests without a complete answer; the next one is parsed once there are fewer. */
  readonly maxOpenRequests: number;
  /** Whether bytes of answers that the connection has not taken count as its memory. */
  readonly countsAnswers: boolean;
  /** Called for bytes that were taken from the socket. */
  readonly onRead: (bytes: number) => void;
  /** Called when the connection holds most of what all connections hold together. */
  readonly onEvicted: () => void;
}

/** Weight of what is parsed in one turn, see `computeInputWeight`. */
const TURN_WEIGHT = 4096;

/** Bytes of heads and framing that are taken from the socket at a time; it keeps the others. */
const MAX_HELD_BYTES = 16_384;

const EMPTY = Buffer.alloc(0);

/** Memory of a request without a complete answer, besides its head. */
const REQUEST_BYTES = 4096;

/**
 * Hands the bytes of a connection to the parser of Node.js in pieces. By itself the parser handles up
 * to 64 KiB at once, with an object for each chunk and each request, before anything can refuse them.
 * Created when the server has set up the connection.
 */
export class ConnectionInput implements BudgetedBody {
  readonly #socket: Socket;

  readonly #options: ConnectionInputOptions;

  readonly #parse: (data: Buffer) => void;

  readonly #open = new Set<ServerResponse>();

  /** Taken from the socket, but not parsed. */
  #held: Buffer = EMPTY;

  /** The last request. */
  #message: IncomingMessage | null = null;

  /** The answer to the last request. */
  #response: ServerResponse | null = null;

  #previousBytes = 0;

  #previousPayloadBytes = 0;

  /** Whether Node.js waits for the reader of a body or for the connection. */
  #isPaused = false;

  /** Whether the last turn used up its weight, so that the next one waits for others. */
  #isCostly = false;

  #isDiscarded = false;

  #isRunning = false;

  #progressMs: number;

  /** The connection as the limit of closing ones sees it. */
  readonly #closing: BudgetedBody;

  constructor(socket: Socket, options: ConnectionInputOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#progressMs = options.clock.getNow();
    this.#closing = { evict: () => void socket.destroy() };
    this.#parse = socket.listeners('data')[0] as (data: Buffer) => void;
    socket.removeListener('data', this.#parse);
    // Node.js pauses and resumes the connection, which has no effect on one that is read in pieces.
    Object.assign(socket, {
      pause: () => {
        this.#isPaused = true;
        return socket;
      },
      resume: () => {
        this.#isPaused = false;
        this.#runLater();
        return socket;
      },
    });
    socket.on('readable', () => {
      if (this.#isCostly || this.#isDropping()) {
        this.#update();
        this.#runLater();
      } else this.#runTurn();
    });
    socket.on('close', () => {
      this.#held = EMPTY;
      // A closed socket would keep what it has read until the whole heap is collected.
      socket.read();
      this.#open.clear();
      options.turns.remove(this.#run);
      options.drains.remove(this.#run);
      this.#update();
    });
  }

  /** Memory that the connection holds, bytes. */
  get bytes(): number {
    const { readableLength, writableLength } = this.#socket;
    const answerBytes = this.#options.countsAnswers ? writableLength : 0;
    return this.#held.length + readableLength + this.#open.size * REQUEST_BYTES + answerBytes;
  }

  /** When a request was last parsed or answered, monotonic milliseconds. */
  get progressMs(): number {
    return this.#progressMs;
  }

  /** Adds a request that the parser has handed over. */
  addRequest(message: IncomingMessage, response: ServerResponse): void {
    this.#message = message;
    this.#response = response;
    this.#previousBytes = 0;
    this.#open.add(response);
    this.#progressMs = this.#options.clock.getNow();
    response.once('close', () => {
      if (!this.#open.delete(response)) return;
      this.#progressMs = this.#options.clock.getNow();
      this.#update();
      this.#runLater();
    });
  }

  /** Returns whether bytes have arrived that were not parsed. */
  hasUnparsed(): boolean {
    return this.#held.length > 0 || this.#socket.readableLength > 0;
  }

  /** Parses nothing more. What arrives is read and dropped, so that the end of the caller is noticed. */
  discard(): void {
    if (this.#isDiscarded) return;
    this.#isDiscarded = true;
    this.#held = EMPTY;
    this.#update();
    this.#runLater();
  }

  /** Returns whether nothing would be gained by closing it before its request is answered. */
  isPinned(): boolean {
    if (this.#options.countsAnswers) return false;
    return this.#open.size <= 1 && !this.#isBodyOpen() && !this.hasUnparsed();
  }

  evict(): void {
    this.#options.onEvicted();
  }

  #runLater(): void {
    if (this.#socket.destroyed) return;
    if (!this.hasUnparsed() && !this.#isDiscarded) {
      // Asks the socket to read on, or to report its end.
      this.#socket.read(0);
      return;
    }
    const { turns, drains } = this.#options;
    (this.#isDropping() ? drains : turns).add(this.#run);
  }

  /** An arrow function, so that a connection has one turn at a time. */
  readonly #run = (): void => {
    this.#runTurn();
  };

  #runTurn(): void {
    if (this.#isRunning || this.#socket.destroyed) return;
    if (this.#isDiscarded) {
      const data = this.#socket.read() as Buffer | null;
      this.#options.onRead(data?.length ?? 0);
      this.#update();
      return;
    }
    this.#isRunning = true;
    let weight = 0;
    try {
      while (weight < TURN_WEIGHT && this.#canParse() && this.#fill()) weight += this.#parsePiece();
    } finally {
      // The handler of a request may throw; the parser then refuses the bytes behind that request.
      this.#isRunning = false;
      this.#isCostly = weight >= TURN_WEIGHT;
      this.#update();
      if (this.hasUnparsed() && this.#canParse()) this.#runLater();
    }
  }

  #canParse(): boolean {
    if (this.#isDiscarded || this.#isPaused || this.#socket.destroyed) return false;
    return this.#isBodyOpen() || this.#open.size < this.#options.maxOpenRequests;
  }

  /** Returns whether what arrives is of no use any more. */
  #isDropping(): boolean {
    if (this.#isDiscarded) return true;
    return this.#isBodyOpen() && this.#response !== null && this.#response.headersSent;
  }

  #isBodyOpen(): boolean {
    return this.#message !== null && !this.#message.complete;
  }

  /** Takes bytes from the socket. @returns false if there are none */
  #fill(): boolean {
    if (this.#held.length > 0 && this.#socket.readableLength === 0) return true;
    if (this.#held.length >= MAX_HELD_BYTES / 2) return true;
    const isPayload = this.#previousPayloadBytes > this.#previousBytes / 2;
    const takesAll = isPayload || this.#socket.readableLength <= MAX_HELD_BYTES;
    // Without a number, the call also reports the end of the connection. A number above the high-water
    // mark would raise that, and the socket would read ahead so far.
    const data = this.#socket.read(takesAll ? undefined : MAX_HELD_BYTES) as Buffer | null;
    if (data !== null) {
      this.#options.onRead(data.length);
      this.#held = this.#held.length === 0 ? data : Buffer.concat([this.#held, data]);
    }
    return this.#held.length > 0;
  }

  /** Parses one piece. @returns its weight */
  #parsePiece(): number {
    const message = this.#isBodyOpen() ? this.#message : null;
    const bytes = chooseInputBytes({
      held: this.#held,
      isBodyOpen: message !== null,
      previousBytes: this.#previousBytes,
      previousPayloadBytes: this.#previousPayloadBytes,
    });
    const piece = this.#held.subarray(0, bytes);
    // An empty part would keep the whole read from being collected.
    this.#held = bytes === this.#held.length ? EMPTY : this.#held.subarray(bytes);
    const earlierBytes = message?.readableLength ?? 0;
    this.#parse(piece);
    const payloadBytes = message === null ? 0 : message.readableLength - earlierBytes;
    this.#previousBytes = this.#message === message ? bytes : 0;
    this.#previousPayloadBytes = payloadBytes;
    return computeInputWeight(bytes, payloadBytes);
  }

  #update(): void {
    const { budget, closingBudget } = this.#options;
    const bytes = this.#socket.destroyed ? 0 : this.bytes;
    const isDropping = this.#isDropping();
    budget.update(this, isDropping ? 0 : bytes);
    closingBudget.update(this.#closing, isDropping ? bytes : 0);
  }
}
