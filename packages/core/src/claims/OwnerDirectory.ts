import type { Incarnation } from '../ids/Incarnation.js';
import type { InstanceId } from '../ids/InstanceId.js';
import type { ClaimOwner } from './ClaimOwner.js';
import type { OwnerView } from './OwnerView.js';

/** Tracks which incarnations of agents have ended, from load reports and the instance list. */
export class OwnerDirectory implements OwnerView {
  readonly #incarnations = new Map<InstanceId, Incarnation>();

  readonly #listed = new Set<InstanceId>();

  readonly #removed = new Set<InstanceId>();

  /** Records the incarnation that an agent reported. */
  recordIncarnation(instance: InstanceId, incarnation: Incarnation): void {
    const latest = this.#incarnations.get(instance);
    if (latest === undefined || incarnation > latest) this.#incarnations.set(instance, incarnation);
  }

  /**
   * Applies a new version of the instance list. An instance counts as removed only after it was
   * listed once, because the list lags and new instances are missing from it at first.
   */
  handleInstances(instances: Iterable<InstanceId>): void {
    const present = new Set(instances);
    for (const instance of this.#listed) {
      if (present.has(instance)) continue;
      this.#listed.delete(instance);
      this.#incarnations.delete(instance);
      this.#removed.add(instance);
    }
    for (const instance of present) {
      this.#listed.add(instance);
      this.#removed.delete(instance);
    }
  }

  hasEnded({ instance, incarnation }: ClaimOwner): boolean {
    if (this.#removed.has(instance)) return true;
    return (this.#incarnations.get(instance) ?? 0) > incarnation;
  }
}
