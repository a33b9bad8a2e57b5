import type { ModelRequest } from './ModelRequest.js';

/** Time of a step without any work. */
const BASE_MS = 18;
const MS_PER_SEQUENCE = 0.15;
const MS_PER_CONTEXT_TOKEN = 0.0004;
const MS_PER_PREFILL_TOKEN = 0.02;

/** Prompt tokens that a rank computes in one step at most. */
const PREFILL_CHUNK = 512;

/** Tokens of cached prefixes that a rank keeps. */
const CACHE_TOKENS = 12_000;

const KV_TOKENS = 120_000;

interface RunningRequest {
  readonly request: ModelRequest;
  readonly onFirstToken: () => void;
  readonly onEnd: () => void;
  prefillLeft: number;
  answerLeft: number;
}

/** One rank of an engine group: continuous batching, chunked prefill, a small prefix cache. */
export class EngineRank {
  readonly #prefilling: RunningRequest[] = [];

  #decoding: RunningRequest[] = [];

  /** Cached prefixes with their tokens, oldest first. */
  readonly #cache = new Map<string, number>();

  #cacheTokens = 0;

  #contextTokens = 0;

  /** Prompt tokens found in the cache, over all requests. */
  savedTokens = 0;

  getInFlight(): number {
    return this.#prefilling.length + this.#decoding.length;
  }

  getTokens(): number {
    return this.#contextTokens;
  }

  getQueuedPromptTokens(): number {
    let tokens = 0;
    for (const running of this.#prefilling) tokens += running.prefillLeft;
    return tokens;
  }

  getKvFree(): number {
    return Math.max(0, 1 - this.#contextTokens / KV_TOKENS);
  }

  start(request: ModelRequest, onFirstToken: () => void, onEnd: () => void): void {
    const isCached = this.#cache.has(request.prefix);
    const saved = isCached ? request.prefixTokens : 0;
    this.savedTokens += saved;
    this.#remember(request);
    this.#prefilling.push({
      request,
      onFirstToken,
      onEnd,
      prefillLeft: request.promptTokens - saved,
      answerLeft: request.answerTokens,
    });
  }

  /** Plans a step. @returns its time on this rank, in milliseconds */
  measureStep(): number {
    const chunk = Math.min(PREFILL_CHUNK, this.getQueuedPromptTokens());
    return (
      BASE_MS +
      MS_PER_SEQUENCE * this.#decoding.length +
      MS_PER_CONTEXT_TOKEN * this.#contextTokens +
      MS_PER_PREFILL_TOKEN * chunk
    );
  }

  /** Runs the step that was planned. */
  runStep(): void {
    const decoding: RunningRequest[] = [];
    for (const running of this.#decoding) {
      running.answerLeft -= 1;
      this.#contextTokens += 1;
      if (running.answerLeft > 0) {
        decoding.push(running);
        continue;
      }
      this.#contextTokens -= running.request.promptTokens + running.request.answerTokens;
      running.onEnd();
    }
    this.#decoding = decoding;
    let budget = PREFILL_CHUNK;
    while (budget > 0 && this.#prefilling[0] !== undefined) {
      const running = this.#prefilling[0];
      const chunk = Math.min(budget, running.prefillLeft);
      budget -= chunk;
      running.prefillLeft -= chunk;
      if (running.prefillLeft > 0) break;
      this.#prefilling.shift();
      this.#decoding.push(running);
      this.#contextTokens += running.request.promptTokens;
      running.onFirstToken();
    }
  }

  #remember({ prefix, prefixTokens }: ModelRequest): void {
    if (this.#cache.delete(prefix)) this.#cacheTokens -= prefixTokens;
    this.#cache.set(prefix, prefixTokens);
    this.#cacheTokens += prefixTokens;
    for (const [oldest, tokens] of this.#cache) {
      if (this.#cacheTokens <= CACHE_TOKENS) break;
      this.#cache.delete(oldest);
      this.#cacheTokens -= tokens;
    }
  }
}
