import { setTimeout as sleep } from 'node:timers/promises';
import { callEntry } from '../callers/callEntry.js';
import type { CallOptions } from '../callers/CallOptions.js';
import type { Ledger } from '../check/Ledger.js';
import type { Fleet } from '../processes/Fleet.js';
import type { Instance } from '../processes/Instance.js';
import type { FaultPlan } from '../schedule/FaultPlan.js';
import { buildConfig } from '../standins/buildConfig.js';
import type { StoreServer } from '../standins/StoreServer.js';
import type { TargetServer } from '../standins/TargetServer.js';
import type { Bounds } from '../check/Bounds.js';
import { STORE } from '../check/storeName.js';
import { holdAddress } from './holdAddress.js';

interface FaultPlayerOptions {
  readonly fleet: Fleet;
  readonly store: StoreServer;
  readonly targets: readonly TargetServer[];
  readonly ledger: Ledger;
  readonly bounds: Bounds;
  /** Adds a line to the record of the run. */
  readonly record: (text: string) => void;
}

/** Bounds of planned work: reloads and configurations are in force after this, milliseconds. */
const CONFIG_APPLY_MS = 2000;
const AFTER_CONFIG_MS = 1000;
const AFTER_GRACE_MS = 1000;

const STORE_MODES = ['refuse', 'hang', 'reset', 'error', 'garbage'] as const;

const HELD_USES = {
  entry: ['front', 'ready', 'directory', 'metrics', 'peer'],
  agent: ['metrics', 'peer'],
} as const;

const MAX_CUTS = 6;

const MAX_ANSWER_BYTES = 8_388_608;
const MAX_UPLOAD_BYTES = 4_194_304;
const BURST_GAP_MS = 20;
const BURST_LIMIT_MS = 8000;

/** Applies planned faults to processes and stand-ins. */
export class FaultPlayer {
  #version = 1;

  #storeFaults = 0;

  #calls = 0;

  readonly #options: FaultPlayerOptions;

  constructor(options: FaultPlayerOptions) {
    this.#options = options;
  }

  /** Whether the store answers no calls; no process has to become ready then. */
  get isStoreDown(): boolean {
    return this.#storeFaults > 0;
  }

  /** Applies a fault and waits until it has ended. */
  async apply(plan: FaultPlan): Promise<void> {
    const { fleet, targets, record } = this.#options;
    const instance = fleet.instances[plan.index % fleet.instances.length]!;
    const entries = fleet.instances.filter(({ role }) => role === 'entry');
    const entry = entries[plan.index % entries.length]!;
    const target = targets[plan.index % targets.length]!;
    record(
      `${plan.kind}: ${JSON.stringify(plan)} (${instance.name}, ${entry.name}, ${target.name})`,
    );
    if (plan.kind === 'hup') this.#reload(instance);
    else if (plan.kind === 'settings') this.#changeSettings(instance, plan);
    else if (plan.kind === 'stop') await this.#stop(instance, plan.durationMs / 4);
    else if (plan.kind === 'hold') await this.#hold(instance, plan);
    else if (plan.kind === 'kill') this.#kill(instance, plan.durationMs / 4);
    else if (plan.kind === 'freeze') await this.#freeze(instance, plan.durationMs);
    else if (plan.kind === 'store') await this.#disturbStore(plan);
    else if (plan.kind === 'config') this.#changeConfig();
    else if (plan.kind === 'drain') await this.#drain(target);
    else if (plan.kind === 'leave') await this.#withdraw(target);
    else if (plan.kind === 'cuts') await this.#endWatches(plan);
    else if (plan.kind === 'crash') await this.#crash(target, plan.durationMs);
    else if (plan.kind === 'endless') target.endless += Math.min(plan.count, 2);
    else if (plan.kind === 'largeAnswers') await this.#askForLargeAnswers(entry, plan);
    else if (plan.kind === 'uploads') await this.#upload(entry, plan);
    else if (plan.kind === 'silence' && plan.choice < 0.5) this.#silenceStore();
    else if (plan.kind === 'silence') target.suspendLinks();
    else if (plan.kind === 'resets') await this.#resetCalls(entry, plan);
  }

  #reload(instance: Instance): void {
    const nowMs = performance.now();
    this.#options.ledger.addSpan(instance.name, 'reload', nowMs, nowMs + CONFIG_APPLY_MS);
    this.#options.fleet.sendSignal(instance, 'SIGHUP');
  }

  #changeSettings(instance: Instance, { choice }: FaultPlan): void {
    const ttlSeconds = 1 + Math.floor(choice * 4);
    this.#options.fleet.writeSettings(instance, { 'parameters.ttl_max_s': String(ttlSeconds) });
    if (choice < 0.7) this.#reload(instance);
  }

  /** Stops a process as the platform does; the run starts it anew. */
  async #stop(instance: Instance, restartMs: number): Promise<void> {
    const { fleet, ledger, bounds, record } = this.#options;
    const { child } = instance;
    if (child === null || instance.orders.size > 0) return;
    const nowMs = performance.now();
    ledger.addSpan(instance.name, 'stop', nowMs, nowMs + bounds.graceMs + AFTER_GRACE_MS);
    instance.orders.add('stop');
    Object.assign(instance, { restartMs });
    fleet.sendSignal(instance, 'SIGTERM');
    await sleep(bounds.graceMs);
    if (instance.child !== child) return;
    record(`${instance.name}: still running at the end of the grace; killed`);
    instance.orders.add('kill');
    child.kill('SIGKILL');
  }

  /** Stops a process and occupies one of its addresses beyond the next start. */
  async #hold(instance: Instance, plan: FaultPlan): Promise<void> {
    if (instance.child === null || instance.orders.size > 0) return;
    const { ledger, record } = this.#options;
    const uses = HELD_USES[instance.role];
    const use = uses[Math.floor(plan.choice * uses.length)]!;
    Object.assign(instance, {
      beforeStart: async () => {
        const protocol = use === 'peer' ? 'udp' : 'tcp';
        const release = await holdAddress(instance.host, instance.ports[use], protocol).catch(
          (error: Error) => record(`${instance.name}: cannot hold ${use}: ${error.message}`),
        );
        if (release === undefined) return;
        record(`${instance.name}: ${use} is held for ${plan.durationMs} ms`);
        Object.assign(instance, { obstacles: instance.obstacles + 1 });
        // Connections to a held caller address do not reach the instance.
        const span = ledger.addSpan(instance.name, 'unplanned', performance.now());
        setTimeout(() => {
          release();
          span.endMs = performance.now();
          Object.assign(instance, { obstacles: instance.obstacles - 1 });
        }, plan.durationMs);
      },
    });
    await this.#stop(instance, plan.choice * 100);
  }

  #kill(instance: Instance, restartMs: number): void {
    if (instance.child === null) return;
    this.#options.ledger.addSpan(instance.name, 'unplanned', performance.now(), performance.now());
    instance.orders.add('kill');
    Object.assign(instance, { restartMs });
    instance.child.kill('SIGKILL');
  }

  async #freeze(instance: Instance, durationMs: number): Promise<void> {
    const { child } = instance;
    if (child === null) return;
    const span = this.#options.ledger.addSpan(instance.name, 'unplanned', performance.now());
    child.kill('SIGSTOP');
    Object.assign(instance, { obstacles: instance.obstacles + 1 });
    await sleep(durationMs);
    child.kill('SIGCONT');
    Object.assign(instance, { obstacles: instance.obstacles - 1 });
    span.endMs = performance.now();
  }

  async #disturbStore({ choice, durationMs }: FaultPlan): Promise<void> {
    if (this.#storeFaults > 0) return;
    this.#storeFaults += 1;
    const span = this.#options.ledger.addSpan(STORE, 'unplanned', performance.now());
    await this.#options.store.setMode(STORE_MODES[Math.floor(choice * STORE_MODES.length)]!);
    await sleep(durationMs);
    await this.#options.store.setMode('ok');
    span.endMs = performance.now();
    this.#storeFaults -= 1;
  }

  #silenceStore(): void {
    const nowMs = performance.now();
    this.#options.ledger.addSpan(STORE, 'unplanned', nowMs, nowMs);
    this.#options.store.suspendLinks();
  }

  /** Cuts the waiting watches one to six times within the duration; the store works meanwhile. */
  async #endWatches({ choice, durationMs }: FaultPlan): Promise<void> {
    const cuts = 1 + Math.floor(choice * MAX_CUTS);
    for (let cut = 0; cut < cuts; cut += 1) {
      this.#options.store.endWatches();
      await sleep(durationMs / cuts);
    }
  }

  #changeConfig(): void {
    this.#version += 1;
    const nowMs = performance.now();
    this.#options.store.put('op/config', buildConfig(this.#version));
    const endMs = nowMs + CONFIG_APPLY_MS + AFTER_CONFIG_MS;
    this.#options.ledger.addSpan('*', 'config', nowMs, endMs);
  }

  async #drain(target: TargetServer): Promise<void> {
    if (this.#hasSpareTarget(target)) await target.drain();
  }

  async #withdraw(target: TargetServer): Promise<void> {
    if (this.#hasSpareTarget(target)) await target.withdraw();
  }

  async #crash(target: TargetServer, downMs: number): Promise<void> {
    if (this.#hasSpareTarget(target)) await target.failFor(downMs);
  }

  /** Returns whether a target serves and may leave without the service losing its last one. */
  #hasSpareTarget(target: TargetServer): boolean {
    const ready = this.#options.targets.filter(({ isReady }) => isReady);
    return target.isReady && ready.length > 1;
  }

  /** Callers ask for answers of the largest length and read nothing for a while. */
  async #askForLargeAnswers(entry: Instance, plan: FaultPlan): Promise<void> {
    await this.#callAtOnce(entry, plan.count, (at) => ({
      method: 'GET',
      path: `/large/${MAX_ANSWER_BYTES - at}`,
      pauseMs: plan.durationMs * 2,
    }));
  }

  async #upload(entry: Instance, { count, choice }: FaultPlan): Promise<void> {
    const body = Buffer.alloc(Math.floor(choice * MAX_UPLOAD_BYTES), 'upload ');
    await this.#callAtOnce(entry, count, () => ({
      method: 'POST',
      path: '/upload/b?ms=300',
      body,
    }));
  }

  async #resetCalls(entry: Instance, { count, durationMs }: FaultPlan): Promise<void> {
    await this.#callAtOnce(entry, count, (at) => ({
      method: at % 2 === 0 ? 'POST' : 'GET',
      path: at % 2 === 0 ? '/note/b?ms=200' : '/lookup/c?ms=900',
      resetAfterMs: (durationMs * (at + 1)) / count,
    }));
  }

  async #callAtOnce(
    entry: Instance,
    count: number,
    build: (
      at: number,
    ) => Pick<CallOptions, 'method' | 'path' | 'body' | 'pauseMs' | 'resetAfterMs'>,
  ): Promise<void> {
    const calls: Promise<void>[] = [];
    for (let at = 0; at < count; at += 1) {
      this.#calls += 1;
      const call = callEntry(`burst-${this.#calls}`, {
        entry: entry.name,
        host: entry.host,
        port: entry.ports.front,
        agent: false,
        limitMs: BURST_LIMIT_MS,
        ...build(at),
      });
      calls.push(call.then((request) => void this.#options.ledger.requests.push(request)));
      await sleep(BURST_GAP_MS);
    }
    await Promise.all(calls);
  }
}
