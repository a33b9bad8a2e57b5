import type { OwnerView } from '@limpetbay/core';
import type { ConfigService } from './ConfigService.js';

/**
 * Tells which lives of agents have ended. A process announces itself with the wall time of its
 * start in microseconds, and incarnations are wall times too, so an announcement that is newer
 * than an incarnation comes from a later life.
 */
export function createOwnerView(service: ConfigService): OwnerView {
  return {
    hasEnded: ({ instance, incarnation }) => {
      if (!service.getFreshness().ready) return false;
      const announced = service.getMembership().getAnnounced(instance);
      return announced === undefined || announced.sequence > incarnation + 1;
    },
  };
}
