import type { AdmissionItem, AdmissionOutcome, Failure, LoadReport } from '@limpetbay/core';
import type { EventLoop } from './EventLoop.js';
import type { Gate } from './Gate.js';
import type { TargetModel } from './TargetModel.js';

interface Reply {
  readonly failure: Failure | null;
  /** Whether the target ran it and failed. */
  readonly error: boolean;
  readonly load: LoadReport;
}

interface Delivery {
  readonly workMs: number;
  readonly reply: (reply: Reply) => void;
}

const TICK_MS = 50;
/** Step time of an idle, warm engine. */
const IDLE_STEP_MS = 20;

/** An agent reduced to its gate: hands started items to the target and answers. */
export class AgentModel<G extends Gate = Gate> {
  readonly gate: G;

  readonly target: TargetModel;

  /** Called whenever an item is handed to the target. */
  onStart: () => void = () => undefined;

  /** Whether the target reports step times, as model engines do. */
  reportsSteps = false;

  startedCount = 0;

  finishedCount = 0;

  failedCount = 0;

  readonly #deliveries = new Map<string, Delivery>();

  constructor(loop: EventLoop, gate: G, target: TargetModel) {
    this.gate = gate;
    this.target = target;
    loop.scheduleEvery(TICK_MS, () => this.apply(this.gate.tick()));
  }

  /** @param workMs work at idle, warm speed */
  submit(item: AdmissionItem, workMs: number, reply: Delivery['reply']): void {
    this.#deliveries.set(`${item.requestId}/${item.attempt}`, { workMs, reply });
    const result = this.gate.submit(item);
    if (result.type === 'start') this.#start(item);
    else if (result.type !== 'queued') this.#answer(item, result.failure, false);
    this.apply(result.outcome);
  }

  apply(outcome: AdmissionOutcome): void {
    for (const item of outcome.started) this.#start(item);
    for (const { item, failure } of outcome.refused) this.#answer(item, failure, false);
  }

  #start(item: AdmissionItem): void {
    const delivery = this.#deliveries.get(`${item.requestId}/${item.attempt}`) as Delivery;
    this.startedCount += 1;
    this.target.start(delivery.workMs, (sample) => {
      this.finishedCount += 1;
      if (sample.error) this.failedCount += 1;
      const slowdown = sample.serviceTimeMs / delivery.workMs;
      const stepTimeMs = this.reportsSteps ? IDLE_STEP_MS * slowdown : 0;
      const outcome = this.gate.finish(item, { ...sample, stepTimeMs });
      this.#answer(item, null, sample.error);
      this.apply(outcome);
    });
    this.onStart();
  }

  #answer(item: AdmissionItem, failure: Failure | null, error: boolean): void {
    const id = `${item.requestId}/${item.attempt}`;
    const delivery = this.#deliveries.get(id) as Delivery;
    this.#deliveries.delete(id);
    delivery.reply({ failure, error, load: this.gate.getLoad() });
  }
}
