import { OwnerDirectory, type Incarnation, type OwnerView } from '@limpetbay/core';
import type { ConfigService } from './ConfigService.js';

/**
 * Tells which lives of agents have ended, by the membership view. A process announces itself with
 * the wall time of its start in microseconds, and incarnations are wall times too, so an
 * announcement that is newer than an incarnation comes from a later life.
 */
export function createOwnerView(service: ConfigService): OwnerView {
  const directory = new OwnerDirectory();
  let version = -1;
  const refresh = (): void => {
    const membership = service.getMembership();
    if (membership.getVersion() === version) return;
    version = membership.getVersion();
    const instances = membership.listInstances();
    directory.handleInstances(instances.map(({ id }) => id));
    for (const { id } of instances) {
      const sequence = membership.getAnnounced(id)?.sequence ?? 0;
      // A leaving process announces itself once more, with the next number.
      if (sequence > 0) directory.recordIncarnation(id, (sequence - 1) as Incarnation);
    }
  };
  return {
    hasEnded: (owner) => {
      refresh();
      return directory.hasEnded(owner);
    },
  };
}
