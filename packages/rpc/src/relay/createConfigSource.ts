import type { ConfigSource } from '@limpetbay/core';
import type { ConfigService } from './ConfigService.js';

const MEMBERSHIP_POLL_MS = 50;

/** Presents a `ConfigService` as the configuration source of a daemon's loop. */
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
      // Changes of the membership come in bursts; one call stands for all since the last.
      let version = service.getMembership().getVersion();
      const timer = setInterval(() => {
        const next = service.getMembership().getVersion();
        if (next === version) return;
        version = next;
        listener();
      }, MEMBERSHIP_POLL_MS);
      return () => {
        unsubscribe();
        clearInterval(timer);
      };
    },
  };
}
