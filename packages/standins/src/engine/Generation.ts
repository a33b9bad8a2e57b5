import type { ServerResponse } from 'node:http';
import { createWord } from './createWord.js';

interface GenerationOptions {
  readonly prompt: string;
  readonly model: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly resumeFrom: number;
  /** Steps before the first token. */
  readonly prefillSteps: number;
}

/** One answer that a rank is generating. */
export class Generation {
  readonly #options: GenerationOptions;

  readonly #response: ServerResponse;

  #index: number;

  #prefillLeft: number;

  #text = '';

  constructor(options: GenerationOptions, response: ServerResponse) {
    this.#options = options;
    this.#response = response;
    this.#index = options.resumeFrom;
    this.#prefillLeft = options.prefillSteps;
    if (options.stream) response.writeHead(200, { 'content-type': 'text/event-stream' });
  }

  /** Tokens of prompt and answer held in KV memory. */
  countTokens(): number {
    return this.#options.prompt.length / 4 + this.#index;
  }

  isPrefilling(): boolean {
    return this.#prefillLeft > 0;
  }

  /** Advances by one step of the group. Returns whether the answer is complete. */
  advance(): boolean {
    if (this.#prefillLeft > 0) {
      this.#prefillLeft -= 1;
      return false;
    }
    if (this.#index >= this.#options.maxTokens) {
      this.#finish();
      return true;
    }
    const word = `${createWord(this.#options.prompt, this.#index)} `;
    this.#index += 1;
    if (this.#options.stream) this.#writeEvent({ content: word }, null);
    else this.#text += word;
    return false;
  }

  /** Breaks the connection in the middle of the answer. */
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
      usage: { completion_tokens: this.#index },
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
