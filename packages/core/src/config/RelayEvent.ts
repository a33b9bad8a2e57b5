import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { InstanceId } from '../ids/InstanceId.js';
import type { AnnouncedInstance } from '../membership/AnnouncedInstance.js';

/** What a relay tells a follower, in order. */
export type RelayEvent =
  | { readonly kind: 'document'; readonly document: VersionedDocument }
  | {
      readonly kind: 'instances';
      /** Whether `upserts` is the whole view. */
      readonly full: boolean;
      readonly upserts: readonly AnnouncedInstance[];
      readonly removed: readonly InstanceId[];
    }
  | {
      /** All documents that the relay knew at its last confirmation went before it. */
      readonly kind: 'heartbeat';
      /** Age of the relay's last confirmation from the store, milliseconds; null for none. */
      readonly confirmationAgeMs: number | null;
      /** Age of the last contact with another zone, milliseconds; null for none. */
      readonly outsideContactAgeMs: number | null;
    };
