import { OwnerDirectory, type Incarnation, type OwnerView } from '@limpetbay/core';
import type { ConfigService } from './ConfigService.js';

/**
 * Creates a view that decides by the membership view which incarnations of agents have ended. A
 * process announces itself with the wall time of its start in microseconds as sequence number, and
 * incarnations are wall times too, so an announcement with a higher sequence number than an
 * incarnation comes from a later incarnation.
 */
export function createOwnerView(service: ConfigService): OwnerView {
  const directory = new OwnerDirectory();
  let appliedVersion = -1;
  const refresh = (): void => {
    const membership = service.getMembership();
    if (membership.getVersion() === appliedVersion) return;
    appliedVersion = membership.getVersion();
    const instances = membership.listInstances();
    directory.handleInstances(instances.map(({ id }) => id));
    for (const { id } of instances) {
      const sequence = membership.getAnnounced(id)?.sequence ?? 0;
      // A leaving process announces itself a second time, with the next sequence number.
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
