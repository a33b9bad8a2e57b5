import { answerTable } from '@limpetbay/core';
import type { CallerReply } from './CallerReply.js';
import type { CallerRequest } from './CallerRequest.js';
import type { SimEntry } from './SimEntry.js';
import type { World } from './World.js';
import { scale } from './scale.js';

const MOST_REPEATS = 3;

/** A caller with one operation, which it may send several times if it has a key. */
export class SimCaller {
  readonly #world: World;

  readonly #name: string;

  readonly #key: string;

  readonly #repeatable: boolean;

  #sent = 0;

  /** Requests that were told "not run"; a target must never run them, also not later. */
  readonly #notRun: string[] = [];

  readonly #leastDeadlineMs: number;

  /** @param sharedKey number of a key that callers contend for within short deadlines, or null */
  constructor(world: World, name: string, sharedKey: number | null) {
    this.#world = world;
    this.#name = name;
    const draw = world.random.next();
    this.#repeatable = draw < 0.2;
    this.#leastDeadlineMs = sharedKey === null ? 400 : 150;
    this.#key = draw < 0.5 ? '' : `key-${sharedKey ?? name}`;
  }

  start(): void {
    const { random, queue } = this.#world;
    this.#submit('gang 7');
    if (this.#key === '') return;
    if (random.next() < 0.2) this.#submit('gang 7');
    if (random.next() < 0.15) this.#submit('gang 8');
    // Repeats a finished operation, which must be replayed.
    if (random.next() < 0.3) queue.schedule(random.next() * 3000, () => this.#submit('gang 7'));
  }

  /** Counts the requests that ran although their caller was told that they had not. */
  countWronglyNotRun(): number {
    return this.#notRun.filter((requestId) => this.#world.runs.has(requestId)).length;
  }

  #submit(body: string): void {
    const { random, queue, entries, tally } = this.#world;
    const entry = entries[Math.floor(random.next() * entries.length)] as SimEntry;
    const { process } = entry;
    if (!process.isUp() || queue.clock.getNow() > scale.activeMs) return;
    this.#sent += 1;
    tally.requests += 1;
    const request: CallerRequest = {
      requestId: `${this.#name}-${this.#sent}`,
      key: this.#key,
      body,
      repeatable: this.#repeatable,
      deadlineMs: this.#leastDeadlineMs * (1 + random.next() * 5),
    };
    process.run(process.getLife(), () =>
      entry.submit(request, (reply) => this.#accept(request, reply)),
    );
  }

  #accept(request: CallerRequest, reply: CallerReply): void {
    const { tally, random, queue } = this.#world;
    if (reply.type === 'complete') {
      const identity = request.key === '' ? request.requestId : `${request.key}:${request.body}`;
      const isOwn = reply.body.startsWith(`<${identity}|`) && reply.body.endsWith('>');
      tally.completed += 1;
      if (reply.replayed) tally.replayed += 1;
      if (!isOwn) tally.wrongAnswers += 1;
      return;
    }
    if (reply.type === 'error' && answerTable[reply.kind].run === 'no') {
      tally.toldNotRun += 1;
      this.#notRun.push(request.requestId);
    } else if (reply.type === 'error') tally.toldUnknown += 1;
    if (request.key === '' || this.#sent > MOST_REPEATS) return;
    queue.schedule(50 + random.next() * 600, () => this.#submit(request.body));
  }
}
