import {
  AnswerAssembler,
  ProgressMonitor,
  decideOutcome,
  type AnswerEvent,
  type AnswerFrame,
  type Attempt,
  type Failure,
  type Incarnation,
} from '@limpetbay/core';
import type { CallerReply } from './CallerReply.js';
import type { CallerRequest } from './CallerRequest.js';
import type { Connection } from './Connection.js';
import { OpenRequest } from './OpenRequest.js';
import type { SimAgent } from './SimAgent.js';
import { SimProcess } from './SimProcess.js';
import type { World } from './World.js';
import { scale } from './scale.js';

type FailedEvent = Extract<AnswerEvent, { type: 'failed' }>;

const MOST_ATTEMPTS = 4;

/** An entry: `AnswerAssembler`, `decideOutcome` and `ProgressWatch` with a model around them. */
export class SimEntry {
  readonly name: string;

  readonly process: SimProcess;

  readonly #world: World;

  #open = new Map<string, OpenRequest>();

  #connections = new Map<string, Connection>();

  #incarnations = new Map<string, Incarnation>();

  #watch!: ProgressMonitor;

  constructor(world: World, name: string) {
    this.#world = world;
    this.name = name;
    this.process = new SimProcess(world.queue);
    this.#begin();
  }

  restart(): void {
    this.process.start();
    this.#begin();
  }

  /** The process is lost: its callers see broken connections. */
  stop(): void {
    this.process.stop();
    for (const { reply } of this.#open.values()) reply({ type: 'broken' });
    this.#open.clear();
  }

  listStreams(): string[] {
    return [...this.#open.keys()];
  }

  listConnections(): Connection[] {
    return [...this.#connections.values()];
  }

  submit(request: CallerRequest, reply: (reply: CallerReply) => void): void {
    const deadlineAtMs = this.#world.queue.clock.getNow() + request.deadlineMs;
    this.#dispatch(new OpenRequest(request, reply, deadlineAtMs));
  }

  acceptFrame(streamId: string, received: AnswerFrame): void {
    const open = this.#open.get(streamId);
    if (open?.assembler == null || open.stream === null) return;
    let frame = received;
    if (this.#world.variant === 'no-frame-check') {
      const { requestId, attempt, incarnation } = open.stream.attempt;
      frame = { ...received, requestId, attempt };
      if (incarnation !== 0) frame = { ...frame, incarnation };
    }
    const event = open.assembler.handleFrame(frame);
    if (event === null) {
      this.#world.tally.droppedFrames += 1;
      return;
    }
    this.#watch.recordProgress(streamId);
    this.#accept(open, event);
  }

  /** A connection broke: every attempt on it ends without an answer. */
  acceptLoss(connection: Connection): void {
    this.#forget(connection);
    for (const open of [...this.#open.values()]) {
      if (open.stream?.connection === connection) this.#break(open, 'broken');
    }
  }

  #begin(): void {
    this.#open = new Map();
    this.#connections = new Map();
    this.#incarnations = new Map();
    this.#watch = new ProgressMonitor(this.#world.queue.clock, scale.tickMs);
    this.#tick();
  }

  #tick(): void {
    const now = this.#world.queue.clock.getNow();
    for (const { stream, replaceChannel } of this.#watch.poll()) {
      const open = this.#open.get(stream);
      if (open === undefined || open.stream === null) continue;
      if (replaceChannel) this.#forget(open.stream.connection);
      this.#break(open, 'silent');
    }
    for (const open of [...this.#open.values()]) {
      if (now >= open.deadlineAtMs) this.#break(open, 'silent', true);
    }
    this.process.schedule(scale.tickMs, () => this.#tick());
  }

  #forget(connection: Connection): void {
    const { name } = connection.agent;
    if (this.#connections.get(name) === connection) this.#connections.delete(name);
  }

  #dispatch(open: OpenRequest): void {
    const { request } = open;
    const { random, agents, link, queue } = this.#world;
    const agent = agents[Math.floor(random.next() * agents.length)] as SimAgent;
    const connection = this.#connect(agent);
    open.update({ attempt: open.attempt + 1 });
    if (connection === null) {
      const failure: Failure = { kind: 'no_target', message: 'connection refused' };
      this.#decide(open, { type: 'failed', end: 'broken', failure, load: null }, true);
      return;
    }
    const known = random.next() < 0.1 ? 0 : (this.#incarnations.get(agent.name) ?? 0);
    const resumeFrom = open.assembler?.getResumeOffset() ?? 0;
    const requestId = request.requestId as Attempt['requestId'];
    const attempt: Attempt = {
      requestId,
      attempt: open.attempt,
      service: 'bookings' as Attempt['service'],
      target: agent.name as Attempt['target'],
      incarnation: known as Incarnation,
      workspace: 'estate' as Attempt['workspace'],
      priority: 'normal',
      deadlineMs: open.deadlineAtMs - queue.clock.getNow(),
      repeatable: request.repeatable,
      idempotencyKey: request.key,
      keyTimeMs: 0,
      method: 'POST',
      path: '/bookings',
      headers: [],
      body: Buffer.from(request.body),
      resumeFrom,
      promptTokens: 0,
      maxTokens: 0,
      configRevision: 0,
    };
    const id = `${this.name}/${this.process.getLife()}/${request.requestId}/${open.attempt}`;
    const assembler = new AnswerAssembler(requestId, open.attempt, attempt.incarnation, resumeFrom);
    const stream = { id, connection, attempt, request };
    open.update({ assembler, stream });
    this.#open.set(id, open);
    this.#watch.add(id, connection.id, scale.silenceMs);
    link.sendAttempt(stream);
  }

  #connect(agent: SimAgent): Connection | null {
    const present = this.#connections.get(agent.name);
    if (present !== undefined) return present;
    if (!agent.process.isUp()) return null;
    const connection = this.#world.link.createConnection(this, agent);
    this.#connections.set(agent.name, connection);
    return connection;
  }

  #accept(open: OpenRequest, event: AnswerEvent): void {
    switch (event.type) {
      case 'accepted':
        this.#learn(open, event.load.incarnation);
        break;
      case 'head':
        open.update({ headSent: true, replayed: event.replayed });
        break;
      case 'bytes':
        open.update({ body: open.body + Buffer.from(event.data).toString() });
        break;
      case 'complete':
        this.#finish(open, { type: 'complete', body: open.body, replayed: open.replayed });
        break;
      case 'failed':
        if (event.load !== null) this.#learn(open, event.load.incarnation);
        this.#decide(open, event, false);
        break;
      default:
    }
  }

  #learn(open: OpenRequest, incarnation: Incarnation): void {
    if (open.stream === null) return;
    const { name } = open.stream.connection.agent;
    const known = this.#incarnations.get(name) ?? 0;
    if (incarnation > known) this.#incarnations.set(name, incarnation);
  }

  #break(open: OpenRequest, end: 'broken' | 'silent', isLate = false): void {
    const event = open.assembler?.handleBreak(end) ?? null;
    if (event === null || event.type !== 'failed') return;
    const failure: Failure = isLate ? { kind: 'timed_out', message: '' } : event.failure;
    this.#decide(open, { ...event, failure }, false);
  }

  #decide(open: OpenRequest, { end, failure }: FailedEvent, isUnsent: boolean): void {
    const { variant, queue, tally } = this.#world;
    this.#close(open);
    if (variant === 'clean-end-on-break' && end === 'broken' && open.headSent) {
      open.reply({ type: 'complete', body: open.body, replayed: open.replayed });
      return;
    }
    const isBroken = end === 'broken' || end === 'silent' || end === 'failed';
    const decision = decideOutcome({
      end: isUnsent ? 'unsent' : end,
      failure,
      repeatable: open.request.repeatable || (variant === 'retry-after-break' && isBroken),
      keyed: open.request.key !== '',
      ranBefore: variant === 'forget-earlier-attempts' ? false : open.ran,
      headSent: open.headSent,
      resumable: true,
      retryAllowed: open.attempt < MOST_ATTEMPTS && queue.clock.getNow() < open.deadlineAtMs,
    });
    if (decision.type === 'retry' || decision.type === 'resume') {
      open.update({ ran: decision.ran });
      if (decision.type === 'retry') open.update({ assembler: null });
      this.process.schedule(5, () => this.#dispatch(open));
      return;
    }
    if (decision.type === 'abort') open.reply({ type: 'broken' });
    else open.reply({ type: 'error', kind: decision.failure.kind });
    if (decision.type === 'abort') tally.toldUnknown += 1;
  }

  #finish(open: OpenRequest, reply: CallerReply): void {
    this.#close(open);
    open.reply(reply);
  }

  #close(open: OpenRequest): void {
    if (open.stream === null) return;
    this.#open.delete(open.stream.id);
    this.#watch.remove(open.stream.id);
  }
}
