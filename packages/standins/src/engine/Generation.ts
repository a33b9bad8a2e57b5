import type { ServerResponse } from 'node:http';
import { createWord } from './createWord.js';

interface GenerationOptions {
  readonly prompt: string;
  readonly model: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Index of the first word to generate; above 0 if an earlier attempt was interrupted. */
  readonly resumeFrom: number;
  /** Number of steps before the first token. */
  readonly prefillSteps: number;
}

/** An answer that a rank is generating, one word per step. */
export class Generation {
  readonly #options: GenerationOptions;

  readonly #response: ServerResponse;

  #nextIndex: number;

  #remainingPrefillSteps: number;

  #text = '';

  constructor(options: GenerationOptions, response: ServerResponse) {
    this.#options = options;
    this.#response = response;
    this.#nextIndex = options.resumeFrom;
    this.#remainingPrefillSteps = options.prefillSteps;
    if (options.stream) response.writeHead(200, { 'content-type': 'text/event-stream' });
  }

  /** Estimates the tokens of prompt and answer in the KV cache, at four characters per prompt token. */
  countTokens(): number {
    return this.#options.prompt.length / 4 + this.#nextIndex;
  }

  isPrefilling(): boolean {
    return this.#remainingPrefillSteps > 0;
  }

  /** Advances by one step of the group. @returns whether the answer is complete */
  advance(): boolean {
    if (this.#remainingPrefillSteps > 0) {
      this.#remainingPrefillSteps -= 1;
      return false;
    }
    if (this.#nextIndex >= this.#options.maxTokens) {
      this.#finish();
      return true;
    }
    const word = `${createWord(this.#options.prompt, this.#nextIndex)} `;
    this.#nextIndex += 1;
    if (this.#options.stream) this.#writeEvent({ content: word }, null);
    else this.#text += word;
    return false;
  }

  /** Closes the connection in the middle of the answer. */
  destroy(): void {
    this.#response.destroy();
  }

  #finish(): void {
    if (this.#options.stream) {
      this.#writeEvent({}, 'stop');
      this.#response.end('data: [DONE]\n\n');
      return;
    }
    const body = JSON.stringify({
      object: 'chat.completion',
      model: this.#options.model,
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: this.#text.trim() },
          finish_reason: 'stop',
        },
      ],
      usage: { completion_tokens: this.#nextIndex },
    });
    this.#response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    this.#response.end(body);
  }

  #writeEvent(delta: object, finishReason: string | null): void {
    const event = {
      object: 'chat.completion.chunk',
      model: this.#options.model,
      choices: [{ index: 0, delta, finish_reason: finishReason }],
    };
    this.#response.write(`data: ${JSON.stringify(event)}\n\n`);
  }
}
