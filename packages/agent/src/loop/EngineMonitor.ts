import type { Clock, EngineStatus } from '@limpetbay/core';
import type { EngineClient } from '@limpetbay/targets';

interface EngineMonitorTiming {
  readonly enginePollMs: number;
  readonly engineTimeoutMs: number;
}

type EngineEvent =
  { readonly type: 'engine'; readonly status: EngineStatus } | { readonly type: 'engine_silent' };

/**
 * Polls the load report of an engine and reports when the engine is unresponsive. Each poll has its
 * own timeout, so a stalled connection is detected even if the engine answers on new connections.
 */
export class EngineMonitor {
  readonly #engine: EngineClient;

  readonly #clock: Clock;

  readonly #timing: EngineMonitorTiming;

  readonly #listener: (event: EngineEvent) => void;

  #lastAnswerMs: number;

  #timer: NodeJS.Timeout | null = null;

  #isStopped = false;

  constructor(
    engine: EngineClient,
    clock: Clock,
    timing: EngineMonitorTiming,
    listener: (event: EngineEvent) => void,
  ) {
    this.#engine = engine;
    this.#clock = clock;
    this.#timing = timing;
    this.#listener = listener;
    this.#lastAnswerMs = clock.getNow();
    this.#schedule(0);
  }

  stop(): void {
    this.#isStopped = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => {
      void this.#poll();
    }, delayMs);
  }

  async #poll(): Promise<void> {
    const load = await this.#engine.getLoad();
    const nowMs = this.#clock.getNow();
    if (this.#isStopped) return;
    if (load.ok) {
      this.#lastAnswerMs = nowMs;
      const { startedAtMs, stepTimeMs, queuedPromptTokens, kvFree, warm } = load.val;
      this.#listener({
        type: 'engine',
        status: {
          startedAt: startedAtMs,
          stepTimeMs,
          waiting: queuedPromptTokens > 0 ? 1 : 0,
          kvFree,
          cacheUsed: warm ? 1 : 0,
        },
      });
    } else if (nowMs - this.#lastAnswerMs >= this.#timing.engineTimeoutMs) {
      this.#lastAnswerMs = nowMs;
      this.#listener({ type: 'engine_silent' });
    }
    this.#schedule(this.#timing.enginePollMs);
  }
}
