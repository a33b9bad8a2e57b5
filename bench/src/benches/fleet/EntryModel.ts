import { RequestId, Workspace, answerTable } from '@limpetbay/core';
import type { LoadReport, RandomSource } from '@limpetbay/core';
import type { AgentModel } from './AgentModel.js';
import type { EventLoop } from './EventLoop.js';

interface Request {
  readonly id: string;
  readonly workMs: number;
  readonly deadlineMs: number;
  readonly finish: (inTime: boolean) => void;
}

interface Known {
  readonly agent: AgentModel;
  readonly zone: string;
  load: LoadReport;
  /** Sent by this entry since the report. */
  sent: number;
}

const ONE_WAY_MS = 1;
const MAX_ATTEMPTS = 4;
/** Above any number in flight. */
const FULL_SCORE = 1e6;

/** An entry reduced to the better of two random targets by their last, delayed load reports. */
export class EntryModel {
  readonly #loop: EventLoop;

  readonly #random: RandomSource;

  readonly #known: Known[] = [];

  readonly #zonesOut = new Set<string>();

  constructor(loop: EventLoop, random: RandomSource) {
    this.#loop = loop;
    this.#random = random;
  }

  addAgent(agent: AgentModel, zone: string): void {
    this.#known.push({ agent, zone, load: agent.gate.getLoad(), sent: 0 });
  }

  /** Applies what the entry learned from its own copy of the document. */
  setZoneOut(zone: string, out: boolean): void {
    if (out) this.#zonesOut.add(zone);
    else this.#zonesOut.delete(zone);
  }

  /** Takes over a report without a request, as a heartbeat would bring it. */
  updateLoads(): void {
    for (const known of this.#known) {
      known.load = known.agent.gate.getLoad();
      known.sent = 0;
    }
  }

  send(request: Request, attempt = 1, tried = new Set<Known>()): void {
    const known = this.#choose(tried);
    if (known === null || attempt > MAX_ATTEMPTS) {
      request.finish(false);
      return;
    }
    known.sent += 1;
    tried.add(known);
    const item = {
      requestId: RequestId.parse(request.id),
      attempt,
      workspace: Workspace.parse('w'),
      priority: 'normal' as const,
      deadlineMs: request.deadlineMs,
      promptTokens: 0,
      maxTokens: 0,
      repeatable: true,
    };
    this.#loop.schedule(ONE_WAY_MS, () => {
      known.agent.submit(item, request.workMs, ({ failure, error, load }) => {
        this.#loop.schedule(ONE_WAY_MS, () => {
          known.load = load;
          known.sent = 0;
          if (failure !== null && answerTable[failure.kind].retryElsewhere) {
            this.send(request, attempt + 1, tried);
            return;
          }
          request.finish(failure === null && !error && this.#loop.getNow() <= request.deadlineMs);
        });
      });
    });
  }

  #choose(tried: ReadonlySet<Known>): Known | null {
    const open: Known[] = [];
    for (const known of this.#known) {
      if (tried.has(known) || known.load.state !== 'serving') continue;
      if (!this.#zonesOut.has(known.zone)) open.push(known);
    }
    if (open.length === 0) return null;
    const first = open[Math.floor(this.#random.next() * open.length)] as Known;
    const second = open[Math.floor(this.#random.next() * open.length)] as Known;
    return this.#score(second) < this.#score(first) ? second : first;
  }

  /** Fewest requests first; targets at their limit last, by how far they are over it. */
  #score({ load, sent }: Known): number {
    const taken = load.inFlight + load.queued + sent;
    return taken < load.limit ? taken : FULL_SCORE + taken / Math.max(1, load.limit);
  }
}
