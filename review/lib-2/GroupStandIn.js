/* eslint no-param-reassign: ["error", { "props": false }] */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const PASS_MS = 30;

const EVENTS = 6;

/** Expert choices of one request in one pass, for each set. */
const PICKS = 200;

/**
 * Stand-in of a model group whose ranks execute each pass together, as the pages describe it: orders
 * with their refusals, holds that do not expire, maps that change at the armed pass. A pass begins
 * while a rank has requests and no rank holds it.
 */
export class GroupStandIn {
  step = 10;

  epoch = 1;

  ranks = [];

  /** Hot experts, by set; the others are chosen seldom. */
  hotExperts = [0, 4, 8, 12];

  /** Called for each order, before it is applied. Returns whether it is answered. */
  onOrder = () => true;

  /** Called when a pass begins. */
  onPass = () => {};

  #model;

  #servers = [];

  #timer = null;

  /** @param model `sets`, `experts`, `spare`, `copyMs` */
  constructor(size, model) {
    this.#model = model;
    for (let rank = 0; rank < size; rank += 1) {
      const held = [];
      for (let expert = 0; expert < model.experts; expert += 1) {
        if (expert % size === rank) held.push(expert);
      }
      this.ranks.push({
        rank,
        map: 0,
        sets: Array.from({ length: model.sets }, () => held),
        prepared: null,
        copying: null,
        highest: 0,
        armed: null,
        held: null,
        sequence: 0,
        active: new Set(),
        counts: new Array(model.sets * model.experts).fill(0),
      });
    }
  }

  async start(hosts, port) {
    for (const [rank, host] of hosts.entries()) {
      const server = createServer(
        (request, response) => void this.#handle(rank, request, response),
      );
      this.#servers.push(server);
      await new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, resolve);
      });
    }
    this.#timer = setInterval(() => this.#advance(), PASS_MS);
  }

  close() {
    clearInterval(this.#timer);
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  hasWork() {
    return this.ranks.some(({ active }) => active.size > 0);
  }

  isHeld(step) {
    return this.ranks.some(({ held }) => held === step);
  }

  #advance() {
    if (!this.hasWork() || this.isHeld(this.step + 1)) return;
    this.step += 1;
    for (const rank of this.ranks) {
      if (rank.armed?.step !== this.step) continue;
      rank.map = rank.armed.version;
      rank.sets = rank.prepared.sets;
      rank.armed = null;
      rank.prepared = null;
    }
    this.onPass();
    for (const rank of this.ranks) {
      for (const request of rank.active) {
        this.#count(rank);
        request.emitEvent();
      }
    }
  }

  #count({ counts }) {
    const { sets, experts } = this.#model;
    for (let set = 0; set < sets; set += 1) {
      for (let expert = 0; expert < experts; expert += 1) {
        counts[set * experts + expert] += this.hotExperts.includes(expert) ? PICKS : 4;
      }
    }
  }

  async #handle(index, request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const rank = this.ranks[index];
    const url = request.url ?? '/';
    if (url === '/report') this.#sendJson(response, 200, this.#report(rank));
    else if (url.startsWith('/picked?')) {
      const map = { version: rank.map, experts: rank.sets };
      this.#sendJson(response, 200, { map, prepared: null });
    } else if (url.startsWith('/picked')) {
      this.#sendJson(response, 200, { step: this.step, epoch: this.epoch, counts: rank.counts });
    } else if (url === '/order') {
      const order = JSON.parse(Buffer.concat(chunks).toString());
      if (!this.onOrder(rank, order)) return;
      const status = this.apply(rank, order);
      this.#sendJson(response, status, {});
    } else this.#serve(rank, request, response);
  }

  #sendJson(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }

  #report(rank) {
    return {
      group: { name: 'group-1', epoch: this.epoch, rank: rank.rank, state: 'open' },
      size: this.ranks.length,
      stage: 'unified',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: rank.copying !== null,
      sequence: rank.sequence,
      queued: 0,
      active: rank.active.size,
      kv_used: 100,
      kv_total: 100_000,
      handles: 0,
      pace: 1,
      step: this.step,
      map: rank.map,
      prepared: rank.prepared?.version ?? null,
      armed: rank.armed,
      held: rank.held,
    };
  }

  /** Carries out an order. @returns the status of its answer */
  apply(rank, { operation, version = 0, step = 0, map = [], epoch }) {
    if (epoch !== undefined && epoch !== this.epoch) return 409;
    if (operation === 'prepare') return this.#prepare(rank, version, map);
    if (operation === 'disarm') {
      if (rank.map === version) return 409;
      if (rank.armed?.version === version) rank.armed = null;
      return 200;
    }
    if (operation === 'go') {
      if (rank.held === step) rank.held = null;
      return 200;
    }
    if (step <= this.step) return 409;
    if (operation === 'hold') {
      if (rank.held !== null && rank.held !== step) return 409;
      rank.held = step;
      return 200;
    }
    if (operation !== 'arm') return 400;
    if (rank.prepared?.version !== version) return 409;
    rank.armed = { version, step };
    return 200;
  }

  #prepare(rank, version, map) {
    if (rank.armed !== null) return 409;
    if (rank.prepared?.version === version || rank.copying?.version === version) return 200;
    if (version <= rank.highest) return 409;
    const sets = map.map((ranks) => [...(ranks[rank.rank] ?? [])].sort((a, b) => a - b));
    let copies = 0;
    for (const [set, experts] of sets.entries()) {
      const added = experts.filter((expert) => !rank.sets[set].includes(expert)).length;
      if (added > this.#model.spare) return 409;
      copies += added;
    }
    rank.highest = version;
    rank.sequence += 1;
    const copying = { version, sets };
    rank.copying = copying;
    setTimeout(() => {
      if (rank.copying !== copying) return;
      rank.copying = null;
      if (rank.armed === null) rank.prepared = copying;
    }, copies * this.#model.copyMs);
    return 202;
  }

  async #serve(rank, request, response) {
    const id = request.headers['x-limpetbay-request-id'] ?? '';
    const headers = {
      'X-Limpetbay-Request-Id': id,
      'X-Limpetbay-Response-Signature': `rank-${rank.rank}.${id}`,
      'X-Limpetbay-Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
    };
    let event = Number(request.headers['last-event-id'] ?? 0);
    const run = {
      emitEvent: () => {
        event += 1;
        if (!response.headersSent) response.writeHead(200, headers);
        response.write(`id: ${event}\ndata: ${id} ${event} of ${EVENTS}\n\n`);
        if (event < EVENTS) return;
        rank.active.delete(run);
        response.end();
      },
    };
    rank.active.add(run);
    response.on('close', () => rank.active.delete(run));
    await sleep(0);
  }
}
