import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { InstanceId } from '../ids/InstanceId.js';
import type { AnnouncedInstance } from '../membership/AnnouncedInstance.js';

/**
 * An event that a relay sends to a follower; events arrive in the order in which they were sent.
 */
export type RelayEvent =
  | { readonly kind: 'document'; readonly document: VersionedDocument }
  | {
      readonly kind: 'instances';
      /** Whether `upserts` is the complete list, not a change. */
      readonly full: boolean;
      readonly upserts: readonly AnnouncedInstance[];
      readonly removed: readonly InstanceId[];
    }
  | {
      /** Sent after all documents that the relay had at its last confirmation. */
      readonly kind: 'heartbeat';
      /** Age of the relay's last confirmation from the store, milliseconds; null for none. */
      readonly confirmationAgeMs: number | null;
      /** Age of the last contact with another zone, milliseconds; null for none. */
      readonly outsideContactAgeMs: number | null;
    };
