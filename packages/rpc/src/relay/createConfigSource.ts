import type { ConfigSource } from '@limpetbay/core';
import type { ConfigService } from './ConfigService.js';

const MEMBERSHIP_POLL_MS = 50;

/** Adapts a `ConfigService` to the configuration source of a daemon's event loop. */
export function createConfigSource(service: ConfigService): ConfigSource {
  return {
    getDocument: (name) => service.getDocument(name) ?? null,
    listDocuments: () => service.listDocuments(),
    listInstances: () => service.getMembership().listInstances(),
    getConnectivity: () => {
      const { lastStoreConfirmationAt, lastOutsideContactAt, zoneCount } = service.getFreshness();
      return {
        storeConfirmedMs: lastStoreConfirmationAt ?? -Infinity,
        outsideZoneHeardMs: lastOutsideContactAt ?? -Infinity,
        zoneCount,
      };
    },
    subscribe: (listener) => {
      const unsubscribe = service.onChange(listener);
      // Membership changes come in bursts, so one call per poll covers all changes since the last.
      let notifiedVersion = service.getMembership().getVersion();
      const timer = setInterval(() => {
        const currentVersion = service.getMembership().getVersion();
        if (currentVersion === notifiedVersion) return;
        notifiedVersion = currentVersion;
        listener();
      }, MEMBERSHIP_POLL_MS);
      return () => {
        unsubscribe();
        clearInterval(timer);
      };
    },
  };
}
