import { Incarnation } from '@limpetbay/core';
import type {
  AdmissionItem,
  AdmissionOutcome,
  LoadReport,
  SubmitResult,
  TargetId,
} from '@limpetbay/core';
import type { Gate } from './Gate.js';

const nothing: AdmissionOutcome = { started: [], refused: [] };

/** The baseline: an unbounded FIFO queue in front of a limit that depends on nothing but time. */
export class SimpleGate implements Gate {
  readonly #target: TargetId;

  readonly #getLimit: () => number;

  readonly #queue: AdmissionItem[] = [];

  #inFlight = 0;

  constructor(target: TargetId, getLimit: () => number) {
    this.#target = target;
    this.#getLimit = getLimit;
  }

  submit(item: AdmissionItem): SubmitResult {
    if (this.#queue.length === 0 && this.#inFlight < this.#getLimit()) {
      this.#inFlight += 1;
      return { type: 'start', outcome: nothing };
    }
    this.#queue.push(item);
    return { type: 'queued', outcome: nothing };
  }

  finish(): AdmissionOutcome {
    this.#inFlight -= 1;
    return this.tick();
  }

  tick(): AdmissionOutcome {
    const started: AdmissionItem[] = [];
    while (this.#queue.length > 0 && this.#inFlight < this.#getLimit()) {
      this.#inFlight += 1;
      started.push(this.#queue.shift() as AdmissionItem);
    }
    return { started, refused: [] };
  }

  getLoad(): LoadReport {
    return {
      target: this.#target,
      incarnation: Incarnation.parse(1),
      state: 'serving',
      inFlight: this.#inFlight,
      limit: this.#getLimit(),
      queued: this.#queue.length,
      queueDelayMs: 0,
      stepTimeMs: 0,
      tokensInFlight: 0,
      queuedPromptTokens: 0,
      kvFree: 1,
      configRevision: 1,
    };
  }
}
