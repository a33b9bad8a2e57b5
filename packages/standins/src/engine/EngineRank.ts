import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';
import { Generation } from './Generation.js';
import { readJson } from '../http/readJson.js';
import { sendJson } from '../http/sendJson.js';

const KV_CAPACITY_TOKENS = 200_000;
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
  /** First step that uses the map; the next step if omitted. */
  atStep: z.number().optional(),
});
const Grant = z.object({ epoch: z.number(), grantedUntil: z.number() });

interface EngineRankOptions {
  readonly host: string;
  /** Whether orders and grants with an outdated epoch (fencing token) are refused. */
  readonly checksFencing: boolean;
  /** Whether the rank runs no step beyond the last one that was granted to it. */
  readonly needsGrants: boolean;
  /** Concurrent requests that a cold rank can handle; one more crashes it. */
  readonly coldCapacity: number;
  /** Number of completed answers after which a cold rank is warm. */
  readonly warmAfterAnswers: number;
  /** Returns the tokens per layer and expert in the last interval, and the end of the interval. */
  readonly readExpertCounts: () => { readonly layers: number[][]; readonly endMs: number };
}

/** One rank of the engine stand-in, with its HTTP interface. A start always begins cold. */
export class EngineRank {
  readonly #options: EngineRankOptions;

  #server: Server | null = null;

  #port = 0;

  readonly #activeGenerations = new Set<Generation>();

  #completedAnswers = 0;

  #startedAtMs = 0;

  #highestEpoch = 0;

  #frozen = false;

  /** Map version of the last step; null if no map has become active since the start. */
  #mapVersion: number | null = null;

  /** Map switches ordered for later steps, sorted by their first step. */
  #scheduledSwitches: { version: number; atStep: number }[] = [];

  readonly #loadedVersions = new Set<number>();

  /** Last step that the rank may run. */
  grantedUntil: number;

  /** Number of well-formed generation requests received. */
  startedRequests = 0;

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

  /** Starts or restarts the rank, on the same port. Its state is reset and it is cold. */
  async start(): Promise<void> {
    this.#startedAtMs = Date.now();
    this.#completedAnswers = 0;
    this.#frozen = false;
    this.#highestEpoch = 0;
    this.#mapVersion = null;
    this.#scheduledSwitches = [];
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

  /** Ends the rank as a crash would: connections are closed in the middle of answers. */
  kill(): void {
    for (const generation of this.#activeGenerations) generation.destroy();
    this.#activeGenerations.clear();
    this.#server?.closeAllConnections();
    this.#server?.close();
    this.#server = null;
  }

  /** Freezes or resumes the rank. While frozen it answers nothing and keeps its connections open. */
  setFrozen(frozen: boolean): void {
    this.#frozen = frozen;
  }

  /** Makes the rank cold again without a restart. */
  makeCold(): void {
    this.#completedAnswers = 0;
  }

  countActive(): number {
    return this.#activeGenerations.size;
  }

  isFrozen(): boolean {
    return this.#frozen;
  }

  isRunning(): boolean {
    return this.#server !== null;
  }

  /** Returns whether the rank may run the step: it is granted and a map is available for it. */
  isReady(step: number): boolean {
    if (!this.#options.needsGrants) return true;
    const hasMap =
      this.#mapVersion !== null || this.#scheduledSwitches.some(({ atStep }) => atStep <= step);
    return hasMap && this.grantedUntil >= step;
  }

  /** Runs one step. @returns the map version that the step used, 0 if the rank has no map */
  advance(step: number): number {
    this.step = step;
    for (const { version, atStep } of this.#scheduledSwitches) {
      if (step >= atStep) this.#mapVersion = version;
    }
    this.#scheduledSwitches = this.#scheduledSwitches.filter(({ atStep }) => atStep > step);
    for (const generation of this.#activeGenerations) {
      if (!generation.advance()) continue;
      this.#activeGenerations.delete(generation);
      this.#completedAnswers += 1;
    }
    return this.#mapVersion ?? 0;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#frozen) return;
    const body = await readJson(request);
    if (request.url === '/v1/chat/completions') this.#startGeneration(request, response, body);
    else if (request.url === '/load') sendJson(response, 200, this.#buildLoadReport());
    else if (request.url === '/orders') this.#handleOrder(response, body);
    else if (request.url === '/steps' && request.method === 'GET') this.#sendStepStatus(response);
    else if (request.url === '/steps') this.#handleGrant(response, body);
    else if (request.url === '/experts') sendJson(response, 200, this.#options.readExpertCounts());
    else sendJson(response, 404, { error: 'unknown path' });
  }

  #startGeneration(request: IncomingMessage, response: ServerResponse, body: unknown): void {
    const chat = ChatRequest.safeParse(body);
    if (!chat.success) {
      sendJson(response, 400, { error: 'malformed request' });
      return;
    }
    this.startedRequests += 1;
    if (!this.#isWarm() && this.#activeGenerations.size >= this.#options.coldCapacity) {
      // A cold engine crashes under load because it runs out of memory.
      this.kill();
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
    this.#activeGenerations.add(generation);
    response.on('close', () => this.#activeGenerations.delete(generation));
  }

  #handleOrder(response: ServerResponse, body: unknown): void {
    const order = Order.safeParse(body);
    if (!order.success) {
      sendJson(response, 400, { error: 'malformed order' });
      return;
    }
    if (!this.#checkEpoch(response, order.data.epoch)) return;
    if (order.data.type === 'load_weights') this.#loadedVersions.add(order.data.version);
    else if (this.#loadedVersions.has(order.data.version)) {
      const { version, atStep = this.step + 1 } = order.data;
      this.#scheduledSwitches.push({ version, atStep });
      this.#scheduledSwitches.sort((left, right) => left.atStep - right.atStep);
    }
    this.#sendStepStatus(response);
  }

  #handleGrant(response: ServerResponse, body: unknown): void {
    const grant = Grant.safeParse(body);
    if (!grant.success) {
      sendJson(response, 400, { error: 'malformed grant' });
      return;
    }
    if (!this.#checkEpoch(response, grant.data.epoch)) return;
    this.grantedUntil = Math.max(this.grantedUntil, grant.data.grantedUntil);
    this.#sendStepStatus(response);
  }

  #sendStepStatus(response: ServerResponse): void {
    const { grantedUntil, step } = this;
    const startedAtMs = this.#startedAtMs;
    sendJson(response, 200, { step, grantedUntil, startedAtMs, mapVersion: this.#mapVersion });
  }

  /** Answers 409 and returns false if fencing is checked and the epoch is outdated. */
  #checkEpoch(response: ServerResponse, epoch: number): boolean {
    if (this.#options.checksFencing && epoch < this.#highestEpoch) {
      sendJson(response, 409, { error: 'outdated epoch', highest: this.#highestEpoch });
      return false;
    }
    this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
    return true;
  }

  #isWarm(): boolean {
    return this.#completedAnswers >= this.#options.warmAfterAnswers;
  }

  #buildLoadReport(): object {
    let tokens = 0;
    let prefilling = 0;
    for (const generation of this.#activeGenerations) {
      tokens += generation.countTokens();
      if (generation.isPrefilling()) prefilling += 1;
    }
    return {
      startedAtMs: this.#startedAtMs,
      stepTimeMs: this.stepTimeMs,
      tokensInFlight: tokens,
      queuedPromptTokens: prefilling * PREFILL_TOKENS_PER_STEP,
      kvFree: Math.max(0, 1 - tokens / KV_CAPACITY_TOKENS),
      warm: this.#isWarm(),
    };
  }
}
