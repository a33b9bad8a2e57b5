import type { Clock } from '../clock/Clock.js';
import type { DirectTarget } from './DirectTarget.js';

interface RegisteredTarget {
  readonly target: DirectTarget;
  /** When this incarnation of the target becomes warm, monotonic milliseconds. */
  readonly warmAtMs: number;
}

/**
 * How long a registration that lapsed in a store outage may take to reappear, milliseconds. Targets
 * register again within about two seconds after the outage; the rest is for the delay until this
 * process sees it.
 */
const LAPSE_GRACE_MS = 2300;

/** Time from the choice of a target until the request reaches it, milliseconds. */
const SEND_MARGIN_MS = 100;

/** How long it is remembered which incarnations have left, milliseconds. */
const DEPARTED_RETENTION_MS = 60_000;

/**
 * A registration that returns from a copy of the store lapses within this time if its target does
 * not renew it: three of its heartbeats, and the delay until this process sees it, milliseconds.
 */
const RETURNED_HOLD_MS = 4500;

interface DepartedTarget extends RegisteredTarget {
  /** When it was removed, monotonic milliseconds. */
  readonly atMs: number;
}

interface ReturnedTarget {
  readonly target: DirectTarget;
  /** From when on it may be used, monotonic milliseconds. */
  readonly fromMs: number;
}

/**
 * The registered targets, including those whose registrations lapsed or were lost only because the
 * store was away. A target whose registration was removed is not used from `getDrainMs` after this
 * process learned of the removal on, whatever happens to the store meanwhile.
 */
export class TargetRegistry {
  readonly #clock: Clock;

  readonly #getDrainMs: () => number;

  readonly #targets = new Map<string, RegisteredTarget>();

  /**
   * Until when targets whose registration was removed, and may only have lapsed, remain in use, by
   * id, monotonic milliseconds.
   */
  readonly #lapsedUntilMs = new Map<string, number>();

  /** The earliest of these times; Infinity if there is none. */
  #nextLapseEndMs = Infinity;

  /** Targets that were kept and did not register again, since they were last taken. */
  #expired: string[] = [];

  /**
   * Until when targets whose registration is not valid, or was lost with the store, remain in use, by
   * id, monotonic milliseconds.
   */
  readonly #retainedUntilMs = new Map<string, number>();

  /** Targets whose registration was removed, by id. */
  readonly #departed = new Map<string, DepartedTarget>();

  /** Targets whose registration was removed and that a restored store names as registered, by id. */
  readonly #returned = new Map<string, ReturnedTarget>();

  #isStoreDown = false;

  /** Until when a registration that is removed may only have lapsed, monotonic milliseconds. */
  #graceEndMs = -Infinity;

  /** Cached index by service; null until it is needed after a change. */
  #targetsByService: Map<string, RegisteredTarget[]> | null = null;

  #revision = 0;

  /**
   * @param getDrainMs returns how long a target serves after its registration was removed,
   *   milliseconds
   */
  constructor(clock: Clock, getDrainMs: () => number = () => Infinity) {
    this.#clock = clock;
    this.#getDrainMs = getDrainMs;
  }

  /**
   * Records a registration. The registration of a target that lost power remains for some seconds,
   * so of several targets at one address the one that started last is kept.
   */
  upsert(target: DirectTarget): void {
    const existing = this.#targets.get(target.id);
    this.#put(target, existing?.target.bornMs === target.bornMs ? existing : null);
  }

  /** @param known what is known of this incarnation, if the registration may be older than that */
  #put(target: DirectTarget, known: RegisteredTarget | null): void {
    if (this.#isSuperseded(target)) return;
    const coldUntilMs = this.#clock.getNow() + target.coldLeftMs;
    // `coldLeftMs` is not updated while it is stored, so the same incarnation read again would seem
    // cold for longer: the earlier end is right. A higher value means that it turned cold again.
    const hasTurnedCold = known === null || target.coldLeftMs > known.target.coldLeftMs;
    const warmAtMs = hasTurnedCold ? coldUntilMs : Math.min(known.warmAtMs, coldUntilMs);
    this.#lapsedUntilMs.delete(target.id);
    this.#retainedUntilMs.delete(target.id);
    this.#departed.delete(target.id);
    this.#returned.delete(target.id);
    this.#targets.set(target.id, { target, warmAtMs });
    this.#targetsByService = null;
    this.#revision += 1;
  }

  /** Finds what is known of the incarnation that a registration names, also if it has left. */
  #findIncarnation({ id, bornMs }: DirectTarget): RegisteredTarget | null {
    const known = this.#targets.get(id) ?? this.#departed.get(id);
    return known?.target.bornMs === bornMs ? known : null;
  }

  #isSuperseded(target: DirectTarget): boolean {
    for (const [id, { target: other }] of this.#targets) {
      if (other.address !== target.address || id === target.id) continue;
      if (other.bornMs > target.bornMs) return true;
      this.#targets.delete(id);
      this.#lapsedUntilMs.delete(id);
      this.#retainedUntilMs.delete(id);
    }
    return false;
  }

  /**
   * Handles a removed registration. Right after an outage of the store it may only have lapsed.
   *
   * @returns how long the target remains in use, milliseconds
   */
  remove(id: string): number {
    this.#returned.delete(id);
    if (!this.#targets.has(id)) return 0;
    const nowMs = this.#clock.getNow();
    const drainEndMs = nowMs + this.#getDrainMs() - SEND_MARGIN_MS;
    // Each removal is learned once: neither a further outage nor a further read extends the time.
    const untilMs = this.#lapsedUntilMs.get(id) ?? Math.min(this.#graceEndMs, drainEndMs);
    if (nowMs >= untilMs) {
      this.#delete(id);
      return 0;
    }
    this.#lapsedUntilMs.set(id, untilMs);
    this.#nextLapseEndMs = Math.min(this.#nextLapseEndMs, untilMs);
    return untilMs - nowMs;
  }

  #delete(id: string): void {
    this.#lapsedUntilMs.delete(id);
    this.#retainedUntilMs.delete(id);
    const removed = this.#targets.get(id);
    if (removed === undefined) return;
    this.#departed.set(id, { ...removed, atMs: this.#clock.getNow() });
    this.#targets.delete(id);
    this.#targetsByService = null;
    this.#revision += 1;
  }

  /** Ends the use of lapsed targets at the millisecond, so it precedes each use of `#targets`. */
  #expireLapsed(): void {
    const nowMs = this.#clock.getNow();
    if (nowMs < this.#nextLapseEndMs) return;
    this.#nextLapseEndMs = Infinity;
    for (const [id, untilMs] of this.#lapsedUntilMs) {
      if (nowMs < untilMs) this.#nextLapseEndMs = Math.min(this.#nextLapseEndMs, untilMs);
      else {
        this.#delete(id);
        this.#expired.push(id);
      }
    }
  }

  /**
   * Keeps a target whose registration was replaced by one that is not valid until its next heartbeat
   * is due. Its last valid registration holds meanwhile.
   */
  retain(id: string): void {
    this.#returned.delete(id);
    this.#retain(id);
  }

  /** Keeps a target until it had time to write its registration again; an outage extends that. */
  #retain(id: string): void {
    if (!this.#targets.has(id) || this.#retainedUntilMs.has(id)) return;
    this.#retainedUntilMs.set(id, this.#clock.getNow() + LAPSE_GRACE_MS);
  }

  /**
   * Replaces all registrations by those of a full read.
   *
   * @param invalidIds targets whose registrations are not valid
   */
  replaceAll(targets: readonly DirectTarget[], invalidIds: ReadonlySet<string> = new Set()): void {
    this.#returned.clear();
    const present = new Set(targets.map(({ id }) => id));
    for (const id of [...this.#targets.keys()]) {
      if (invalidIds.has(id)) this.retain(id);
      else if (!present.has(id)) this.remove(id);
    }
    for (const target of targets) this.upsert(target);
  }

  /**
   * Replaces all registrations by those of a store that was restored from a copy. Targets that the
   * copy lacks get time to register again. A registration in the copy may be older than what is
   * known here: a target that was draining or had left is not used before it has written again, one
   * that has turned cold stays cold, and one that has started again since is not replaced by its
   * earlier incarnation.
   */
  restore(targets: readonly DirectTarget[]): void {
    const nowMs = this.#clock.getNow();
    this.#graceEndMs = nowMs + LAPSE_GRACE_MS;
    this.#returned.clear();
    const current = targets.filter((target) => !this.#hasLaterIncarnation(target));
    const present = new Set(current.map(({ id }) => id));
    for (const id of [...this.#targets.keys()]) {
      // Nobody has removed what the copy lacks.
      if (!present.has(id)) this.#retain(id);
    }
    for (const copied of current) {
      const known = this.#findIncarnation(copied)?.target;
      if (known?.isDraining === true) continue;
      // A lower value may be from before it turned cold; the known end of that time holds.
      const coldLeftMs = Math.max(copied.coldLeftMs, known?.coldLeftMs ?? 0);
      const target = { ...copied, coldLeftMs };
      const isInUse = this.#targets.has(target.id) && !this.#lapsedUntilMs.has(target.id);
      if (known === undefined || isInUse) this.upsert(target);
      else this.#returned.set(target.id, { target, fromMs: nowMs + RETURNED_HOLD_MS });
    }
  }

  #hasLaterIncarnation({ id, bornMs }: DirectTarget): boolean {
    const known = this.#targets.get(id) ?? this.#departed.get(id);
    return known !== undefined && known.target.bornMs > bornMs;
  }

  /** Records whether the store is down; the grace period begins when it is available again. */
  setStoreUnavailable(isDown: boolean): void {
    if (this.#isStoreDown && !isDown) this.#graceEndMs = this.#clock.getNow() + LAPSE_GRACE_MS;
    this.#isStoreDown = isDown;
  }

  /**
   * Removes targets that have not registered again in time, and uses those that returned from a copy
   * of the store and whose registrations have not lapsed.
   */
  expire(): void {
    this.#expireLapsed();
    // Without the store, targets can neither write their registrations again nor lapse.
    if (this.#isStoreDown) return;
    const nowMs = this.#clock.getNow();
    for (const { target, fromMs } of this.#returned.values()) {
      if (nowMs >= fromMs) this.#put(target, this.#findIncarnation(target));
    }
    for (const [id, { atMs }] of this.#departed) {
      if (nowMs - atMs > DEPARTED_RETENTION_MS) this.#departed.delete(id);
    }
    for (const [id, untilMs] of this.#retainedUntilMs) {
      if (nowMs < Math.max(untilMs, this.#graceEndMs)) continue;
      this.#delete(id);
      this.#expired.push(id);
    }
  }

  /** Returns the targets that were kept and did not register again, each of them once. */
  takeExpired(): string[] {
    return this.#expired.splice(0);
  }

  /** Lists the targets in use whose registrations were removed, are not valid or were lost. */
  listUnregistered(): string[] {
    this.#expireLapsed();
    return [...new Set([...this.#lapsedUntilMs.keys(), ...this.#retainedUntilMs.keys()])];
  }

  get(id: string): DirectTarget | undefined {
    this.#expireLapsed();
    return this.#targets.get(id)?.target;
  }

  /** Returns whether a target is registered, or has left a short time ago and may come back. */
  isKnown(id: string): boolean {
    this.#expireLapsed();
    return this.#targets.has(id) || this.#departed.has(id);
  }

  isCold(id: string): boolean {
    return this.#clock.getNow() < (this.#targets.get(id)?.warmAtMs ?? 0);
  }

  /** Lists the targets of a service, including those that are draining. */
  listTargets(service: string): readonly DirectTarget[] {
    this.#expireLapsed();
    this.#targetsByService ??= this.#groupByService();
    return (this.#targetsByService.get(service) ?? []).map(({ target }) => target);
  }

  listAll(): DirectTarget[] {
    this.#expireLapsed();
    return Array.from(this.#targets.values(), ({ target }) => target);
  }

  /** Returns a number that changes with each change of the registered targets. */
  getRevision(): number {
    this.#expireLapsed();
    return this.#revision;
  }

  count(): number {
    this.#expireLapsed();
    return this.#targets.size;
  }

  #groupByService(): Map<string, RegisteredTarget[]> {
    const services = new Map<string, RegisteredTarget[]>();
    for (const registered of this.#targets.values()) {
      const list = services.get(registered.target.service);
      if (list === undefined) services.set(registered.target.service, [registered]);
      else list.push(registered);
    }
    return services;
  }
}
