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
import type { Simulation } from './Simulation.js';
import { scheduleSettings } from './scheduleSettings.js';

type FailedEvent = Extract<AnswerEvent, { type: 'failed' }>;

const MAX_ATTEMPTS = 4;

/** A simulated entry: runs the product's `AnswerAssembler`, `decideOutcome` and `ProgressMonitor`. */
export class SimEntry {
  readonly name: string;

  readonly process: SimProcess;

  readonly #simulation: Simulation;

  #openRequests = new Map<string, OpenRequest>();

  #connections = new Map<string, Connection>();

  #incarnations = new Map<string, Incarnation>();

  #progressMonitor!: ProgressMonitor;

  constructor(simulation: Simulation, name: string) {
    this.#simulation = simulation;
    this.name = name;
    this.process = new SimProcess(simulation.queue);
    this.#begin();
  }

  restart(): void {
    this.process.start();
    this.#begin();
  }

  /** Ends the process: its callers see broken connections. */
  stop(): void {
    this.process.stop();
    for (const { reply } of this.#openRequests.values()) reply({ type: 'broken' });
    this.#openRequests.clear();
  }

  listStreams(): string[] {
    return [...this.#openRequests.keys()];
  }

  listConnections(): Connection[] {
    return [...this.#connections.values()];
  }

  submit(request: CallerRequest, reply: (reply: CallerReply) => void): void {
    const deadlineAtMs = this.#simulation.queue.clock.getNow() + request.deadlineMs;
    this.#dispatch(new OpenRequest(request, reply, deadlineAtMs));
  }

  handleFrame(streamId: string, received: AnswerFrame): void {
    const openRequest = this.#openRequests.get(streamId);
    if (openRequest?.assembler == null || openRequest.stream === null) return;
    let frame = received;
    if (this.#simulation.variant === 'no-frame-check') {
      const { requestId, attempt, incarnation } = openRequest.stream.attempt;
      frame = { ...received, requestId, attempt };
      if (incarnation !== 0) frame = { ...frame, incarnation };
    }
    const event = openRequest.assembler.handleFrame(frame);
    if (event === null) {
      this.#simulation.tally.droppedFrames += 1;
      return;
    }
    this.#progressMonitor.recordProgress(streamId);
    this.#handleEvent(openRequest, event);
  }

  /** Ends every attempt on a broken connection without an answer. */
  handleDisconnect(connection: Connection): void {
    this.#removeConnection(connection);
    for (const openRequest of [...this.#openRequests.values()]) {
      if (openRequest.stream?.connection === connection) this.#handleBreak(openRequest, 'broken');
    }
  }

  #begin(): void {
    this.#openRequests = new Map();
    this.#connections = new Map();
    this.#incarnations = new Map();
    this.#progressMonitor = new ProgressMonitor(
      this.#simulation.queue.clock,
      scheduleSettings.tickMs,
    );
    this.#tick();
  }

  #tick(): void {
    const now = this.#simulation.queue.clock.getNow();
    for (const { stream, replaceChannel } of this.#progressMonitor.poll()) {
      const openRequest = this.#openRequests.get(stream);
      if (openRequest === undefined || openRequest.stream === null) continue;
      if (replaceChannel) this.#removeConnection(openRequest.stream.connection);
      this.#handleBreak(openRequest, 'silent');
    }
    for (const openRequest of [...this.#openRequests.values()]) {
      if (now >= openRequest.deadlineAtMs) this.#handleBreak(openRequest, 'silent', true);
    }
    this.process.schedule(scheduleSettings.tickMs, () => this.#tick());
  }

  #removeConnection(connection: Connection): void {
    const { name } = connection.agent;
    if (this.#connections.get(name) === connection) this.#connections.delete(name);
  }

  #dispatch(openRequest: OpenRequest): void {
    const { request } = openRequest;
    const { random, agents, network, queue } = this.#simulation;
    const agent = agents[Math.floor(random.next() * agents.length)] as SimAgent;
    const connection = this.#connect(agent);
    openRequest.update({ attempt: openRequest.attempt + 1 });
    if (connection === null) {
      const failure: Failure = { kind: 'no_target', message: 'connection refused' };
      this.#decide(openRequest, { type: 'failed', end: 'broken', failure, load: null }, true);
      return;
    }
    const targetIncarnation = random.next() < 0.1 ? 0 : (this.#incarnations.get(agent.name) ?? 0);
    const resumeFrom = openRequest.assembler?.getResumeOffset() ?? 0;
    const requestId = request.requestId as Attempt['requestId'];
    const attempt: Attempt = {
      requestId,
      attempt: openRequest.attempt,
      service: 'bookings' as Attempt['service'],
      target: agent.name as Attempt['target'],
      incarnation: targetIncarnation as Incarnation,
      workspace: 'estate' as Attempt['workspace'],
      priority: 'normal',
      deadlineMs: openRequest.deadlineAtMs - queue.clock.getNow(),
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
    const id = `${this.name}/${this.process.getIncarnation()}/${request.requestId}/${openRequest.attempt}`;
    const assembler = new AnswerAssembler(
      requestId,
      openRequest.attempt,
      attempt.incarnation,
      resumeFrom,
    );
    const stream = { id, connection, attempt, request };
    openRequest.update({ assembler, stream });
    this.#openRequests.set(id, openRequest);
    this.#progressMonitor.add(id, connection.id, scheduleSettings.progressTimeoutMs);
    network.sendAttempt(stream);
  }

  #connect(agent: SimAgent): Connection | null {
    const existing = this.#connections.get(agent.name);
    if (existing !== undefined) return existing;
    if (!agent.process.isUp()) return null;
    const connection = this.#simulation.network.createConnection(this, agent);
    this.#connections.set(agent.name, connection);
    return connection;
  }

  #handleEvent(openRequest: OpenRequest, event: AnswerEvent): void {
    switch (event.type) {
      case 'accepted':
        this.#recordIncarnation(openRequest, event.load.incarnation);
        break;
      case 'head':
        openRequest.update({ headSent: true, replayed: event.replayed });
        break;
      case 'bytes':
        openRequest.update({ body: openRequest.body + Buffer.from(event.data).toString() });
        break;
      case 'complete':
        this.#finish(openRequest, {
          type: 'complete',
          body: openRequest.body,
          replayed: openRequest.replayed,
        });
        break;
      case 'failed':
        if (event.load !== null) this.#recordIncarnation(openRequest, event.load.incarnation);
        this.#decide(openRequest, event, false);
        break;
      default:
    }
  }

  #recordIncarnation(openRequest: OpenRequest, incarnation: Incarnation): void {
    if (openRequest.stream === null) return;
    const { name } = openRequest.stream.connection.agent;
    const latest = this.#incarnations.get(name) ?? 0;
    if (incarnation > latest) this.#incarnations.set(name, incarnation);
  }

  #handleBreak(openRequest: OpenRequest, end: 'broken' | 'silent', isPastDeadline = false): void {
    const event = openRequest.assembler?.handleBreak(end) ?? null;
    if (event === null || event.type !== 'failed') return;
    const failure: Failure = isPastDeadline ? { kind: 'timed_out', message: '' } : event.failure;
    this.#decide(openRequest, { ...event, failure }, false);
  }

  #decide(openRequest: OpenRequest, { end, failure }: FailedEvent, isUnsent: boolean): void {
    const { variant, queue, tally } = this.#simulation;
    this.#close(openRequest);
    if (variant === 'clean-end-on-break' && end === 'broken' && openRequest.headSent) {
      openRequest.reply({
        type: 'complete',
        body: openRequest.body,
        replayed: openRequest.replayed,
      });
      return;
    }
    const isBroken = end === 'broken' || end === 'silent' || end === 'failed';
    const decision = decideOutcome({
      end: isUnsent ? 'unsent' : end,
      failure,
      repeatable: openRequest.request.repeatable || (variant === 'retry-after-break' && isBroken),
      keyed: openRequest.request.key !== '',
      ranBefore: variant === 'ignore-earlier-attempts' ? false : openRequest.mayHaveRun,
      headSent: openRequest.headSent,
      resumable: true,
      retryAllowed:
        openRequest.attempt < MAX_ATTEMPTS && queue.clock.getNow() < openRequest.deadlineAtMs,
    });
    if (decision.type === 'retry' || decision.type === 'resume') {
      openRequest.update({ mayHaveRun: decision.ran });
      if (decision.type === 'retry') openRequest.update({ assembler: null });
      this.process.schedule(5, () => this.#dispatch(openRequest));
      return;
    }
    if (decision.type === 'abort') openRequest.reply({ type: 'broken' });
    else openRequest.reply({ type: 'error', kind: decision.failure.kind });
    if (decision.type === 'abort') tally.reportedUnknown += 1;
  }

  #finish(openRequest: OpenRequest, reply: CallerReply): void {
    this.#close(openRequest);
    openRequest.reply(reply);
  }

  #close(openRequest: OpenRequest): void {
    if (openRequest.stream === null) return;
    this.#openRequests.delete(openRequest.stream.id);
    this.#progressMonitor.remove(openRequest.stream.id);
  }
}
