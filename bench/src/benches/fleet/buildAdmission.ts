import { TargetAdmission, TargetId, Zone } from '@limpetbay/core';
import type { VersionedDocument } from '@limpetbay/core';
import type { EventLoop } from './EventLoop.js';

/** Builds the admission of one connected target. */
export function buildAdmission(
  loop: EventLoop,
  name: string,
  zone: string,
  document: VersionedDocument,
): TargetAdmission {
  const admission = new TargetAdmission({ clock: loop.clock, target: TargetId.parse(name) });
  admission.setZone(Zone.parse(zone));
  const connected = { storeConfirmedMs: Infinity, outsideZoneHeardMs: Infinity, zoneCount: 3 };
  admission.setConnectivity(connected);
  admission.setDocument(document);
  return admission;
}
