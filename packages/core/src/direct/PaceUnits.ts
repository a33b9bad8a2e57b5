import type { DirectTarget } from './DirectTarget.js';
import type { GroupReport } from './GroupReport.js';
import { buildRunName } from './buildRunName.js';

/** The targets of one unit. */
interface UnitTargets {
  readonly targets: DirectTarget[];
  capacity: number;
}

/**
 * The units that have one pace: a lock-step group, because all its ranks share each pass, or the run
 * of a target that belongs to no known group.
 */
export class PaceUnits {
  /** Group of a rank, by its address. */
  readonly #groups = new Map<string, string>();

  /** Epoch in which each group was last seen open; null since it was seen closed. */
  readonly #openEpochs = new Map<string, number | null>();

  /** @returns whether the report is the first of an open group after a formation */
  handleReport({ group, epoch, isOpen, ranks }: GroupReport): boolean {
    for (const { address } of ranks) this.#groups.set(address, group);
    const known = this.#openEpochs.get(group);
    this.#openEpochs.set(group, isOpen ? epoch : null);
    return isOpen && known !== undefined && known !== epoch;
  }

  /** Returns the name of a target's unit. */
  getName(target: DirectTarget): string {
    const group = this.#groups.get(target.address);
    return group === undefined ? buildRunName(target) : buildGroupName(group);
  }

  /** Returns whether the unit of a target is a group. */
  isInGroup({ address }: DirectTarget): boolean {
    return this.#groups.has(address);
  }

  /** Returns the name of the unit of a group. */
  getGroupName({ group }: Pick<GroupReport, 'group'>): string {
    return buildGroupName(group);
  }

  /** Groups targets by the name of their unit. */
  listUnits(targets: readonly DirectTarget[]): Map<string, UnitTargets> {
    const units = new Map<string, UnitTargets>();
    for (const target of targets) {
      const name = this.getName(target);
      const unit = units.get(name);
      if (unit === undefined) units.set(name, { targets: [target], capacity: target.capacity });
      else {
        unit.targets.push(target);
        unit.capacity += target.capacity;
      }
    }
    return units;
  }

  /** Counts the ranks whose group is known. */
  countRanks(): number {
    return this.#groups.size;
  }

  /** Forgets ranks and groups that are gone. @param targets that are registered */
  expire(targets: readonly DirectTarget[]): void {
    const addresses = new Set(targets.map(({ address }) => address));
    for (const address of this.#groups.keys()) {
      if (!addresses.has(address)) this.#groups.delete(address);
    }
    const groups = new Set(this.#groups.values());
    for (const group of this.#openEpochs.keys()) {
      if (!groups.has(group)) this.#openEpochs.delete(group);
    }
  }

  clear(): void {
    this.#groups.clear();
    this.#openEpochs.clear();
  }
}

function buildGroupName(group: string): string {
  return `group ${group}`;
}
