import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';
import { Generation } from './Generation.js';
import { readJson } from '../http/readJson.js';
import { sendJson } from '../http/sendJson.js';

const KV_TOKENS = 200_000;
const PREFILL_TOKENS_PER_STEP = 512;

const ChatRequest = z.looseObject({
  model: z.string(),
  messages: z.array(z.unknown()),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().default(16),
});
const Order = z.object({
  epoch: z.number(),
  type: z.enum(['load_weights', 'switch_map']),
  version: z.number(),
  /** First step with the map. */
  atStep: z.number().optional(),
});
const Grant = z.object({ epoch: z.number(), grantedUntil: z.number() });

interface EngineRankOptions {
  readonly host: string;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
  /** Whether the rank stops at the step that it was granted. */
  readonly needsGrants: boolean;
  /** Requests that a cold rank bears; one more makes it fail. */
  readonly coldCapacity: number;
  /** Answers after which a cold rank is warm. */
  readonly warmAfter: number;
  /** Returns the tokens that each expert handled lately, by layer. */
  readonly readCounts: () => { readonly layers: number[][]; readonly endMs: number };
}

/** One rank of the engine stand-in, with its HTTP interface. */
export class EngineRank {
  readonly #options: EngineRankOptions;

  #server: Server | null = null;

  #port = 0;

  readonly #active = new Set<Generation>();

  #answered = 0;

  #startedAtMs = 0;

  #highestEpoch = 0;

  #frozen = false;

  /** Map of the last step; null where none was ordered since the start. */
  #mapVersion: number | null = null;

  /** Maps that are ordered for later steps, by first step. */
  #ordered: { version: number; atStep: number }[] = [];

  readonly #loadedVersions = new Set<number>();

  /** Last step that the rank may run. */
  grantedUntil: number;

  /** Requests that the rank began to run. */
  started = 0;

  step = 0;

  stepTimeMs = 0;

  constructor(options: EngineRankOptions) {
    this.#options = options;
    this.grantedUntil = options.needsGrants ? 0 : Number.POSITIVE_INFINITY;
  }

  /** Base URL of the rank. */
  get origin(): string {
    return `http://${this.#options.host}:${this.#port}`;
  }

  /** Starts or restarts the rank on the same port; it begins cold. */
  async start(): Promise<void> {
    this.#startedAtMs = Date.now();
    this.#answered = 0;
    this.#frozen = false;
    this.#highestEpoch = 0;
    this.#mapVersion = null;
    this.#ordered = [];
    this.#loadedVersions.clear();
    this.grantedUntil = this.#options.needsGrants ? 0 : Number.POSITIVE_INFINITY;
    const server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    await new Promise<void>((resolve) => {
      server.listen(this.#port, this.#options.host, resolve);
    });
    this.#port = (server.address() as AddressInfo).port;
    this.#server = server;
  }

  /** Ends the rank as a crash would: connections break in the middle of answers. */
  crash(): void {
    for (const generation of this.#active) generation.destroy();
    this.#active.clear();
    this.#server?.closeAllConnections();
    this.#server?.close();
    this.#server = null;
  }

  /** Stops or resumes the rank without closing anything. */
  setFrozen(frozen: boolean): void {
    this.#frozen = frozen;
  }

  /** Makes the rank cold again without a restart. */
  makeCold(): void {
    this.#answered = 0;
  }

  countActive(): number {
    return this.#active.size;
  }

  isFrozen(): boolean {
    return this.#frozen;
  }

  isRunning(): boolean {
    return this.#server !== null;
  }

  /** Whether the rank may run a step: it was granted, and a map is ordered for it. */
  isReady(step: number): boolean {
    if (!this.#options.needsGrants) return true;
    const hasMap = this.#mapVersion !== null || this.#ordered.some(({ atStep }) => atStep <= step);
    return hasMap && this.grantedUntil >= step;
  }

  /** Runs one step and returns the map version that it used. */
  advance(step: number): number {
    this.step = step;
    for (const { version, atStep } of this.#ordered) {
      if (step >= atStep) this.#mapVersion = version;
    }
    this.#ordered = this.#ordered.filter(({ atStep }) => atStep > step);
    for (const generation of this.#active) {
      if (!generation.advance()) continue;
      this.#active.delete(generation);
      this.#answered += 1;
    }
    return this.#mapVersion ?? 0;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#frozen) return;
    const body = await readJson(request);
    if (request.url === '/v1/chat/completions') this.#startGeneration(request, response, body);
    else if (request.url === '/load') sendJson(response, 200, this.#describeLoad());
    else if (request.url === '/orders') this.#acceptOrder(response, body);
    else if (request.url === '/steps' && request.method === 'GET') this.#sendStep(response);
    else if (request.url === '/steps') this.#acceptGrant(response, body);
    else if (request.url === '/experts') sendJson(response, 200, this.#options.readCounts());
    else sendJson(response, 404, { error: 'no such path' });
  }

  #startGeneration(request: IncomingMessage, response: ServerResponse, body: unknown): void {
    const chat = ChatRequest.safeParse(body);
    if (!chat.success) {
      sendJson(response, 400, { error: 'malformed request' });
      return;
    }
    this.started += 1;
    if (!this.#isWarm() && this.#active.size >= this.#options.coldCapacity) {
      // A cold engine under load runs out of memory and dies.
      this.crash();
      return;
    }
    const prompt = JSON.stringify(chat.data.messages);
    const generation = new Generation(
      {
        prompt,
        model: chat.data.model,
        maxTokens: chat.data.max_tokens,
        stream: chat.data.stream,
        resumeFrom: Number(request.headers['limpetbay-resume-from'] ?? 0),
        prefillSteps: Math.ceil(prompt.length / 4 / PREFILL_TOKENS_PER_STEP),
      },
      response,
    );
    this.#active.add(generation);
    response.on('close', () => this.#active.delete(generation));
  }

  #acceptOrder(response: ServerResponse, body: unknown): void {
    const order = Order.safeParse(body);
    if (!order.success) {
      sendJson(response, 400, { error: 'malformed order' });
      return;
    }
    if (!this.#checkEpoch(response, order.data.epoch)) return;
    if (order.data.type === 'load_weights') this.#loadedVersions.add(order.data.version);
    else if (this.#loadedVersions.has(order.data.version)) {
      const { version, atStep = this.step + 1 } = order.data;
      this.#ordered.push({ version, atStep });
      this.#ordered.sort((left, right) => left.atStep - right.atStep);
    }
    this.#sendStep(response);
  }

  #acceptGrant(response: ServerResponse, body: unknown): void {
    const grant = Grant.safeParse(body);
    if (!grant.success) {
      sendJson(response, 400, { error: 'malformed grant' });
      return;
    }
    if (!this.#checkEpoch(response, grant.data.epoch)) return;
    this.grantedUntil = Math.max(this.grantedUntil, grant.data.grantedUntil);
    this.#sendStep(response);
  }

  #sendStep(response: ServerResponse): void {
    const { grantedUntil, step } = this;
    const startedAtMs = this.#startedAtMs;
    sendJson(response, 200, { step, grantedUntil, startedAtMs, mapVersion: this.#mapVersion });
  }

  /** Refuses an old fencing number where this engine checks them. */
  #checkEpoch(response: ServerResponse, epoch: number): boolean {
    if (this.#options.checksFencing && epoch < this.#highestEpoch) {
      sendJson(response, 409, { error: 'old epoch', highest: this.#highestEpoch });
      return false;
    }
    this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
    return true;
  }

  #isWarm(): boolean {
    return this.#answered >= this.#options.warmAfter;
  }

  #describeLoad(): object {
    let tokens = 0;
    let queued = 0;
    for (const generation of this.#active) {
      tokens += generation.countTokens();
      if (generation.isPrefilling()) queued += 1;
    }
    return {
      startedAtMs: this.#startedAtMs,
      stepTimeMs: this.stepTimeMs,
      tokensInFlight: tokens,
      queuedPromptTokens: queued * PREFILL_TOKENS_PER_STEP,
      kvFree: Math.max(0, 1 - tokens / KV_TOKENS),
      warm: this.#isWarm(),
    };
  }
}
