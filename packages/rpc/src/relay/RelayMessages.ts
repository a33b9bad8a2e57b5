interface WireInstance {
  readonly id: string;
  readonly role: string;
  readonly zone: string;
  readonly address: string;
  readonly callerUrl?: string;
  readonly target?: string;
  readonly state: string;
  readonly sequence: number;
}

interface WireRevision {
  readonly name: string;
  readonly revision: number;
  readonly deleted: boolean;
  readonly inForceMs: number;
}

/** The messages of `relay.proto` in the form that proto-loader decodes. */
export interface RelayMessages {
  Instance: WireInstance;
  FollowRequest: {
    readonly self: WireInstance | null;
    readonly known: readonly WireRevision[];
  };
  RelayEvent: {
    readonly document?: {
      readonly name: string;
      readonly revision: number;
      readonly operationId: string;
      readonly json: string;
    } | null;
    readonly instances?: {
      readonly full: boolean;
      readonly upserts: readonly WireInstance[];
      readonly removed: readonly string[];
    } | null;
    readonly heartbeat?: {
      readonly confirmationAgeMs?: number;
      readonly outsideContactAgeMs?: number;
    } | null;
  };
  RevisionReport: {
    readonly self: WireInstance | null;
    readonly revisions: readonly WireRevision[];
    readonly state: string;
    readonly ready: boolean;
    readonly relay: boolean;
    readonly followers: number;
    readonly zoneCount: number;
    readonly confirmationAgeMs?: number;
    readonly outsideContactAgeMs?: number;
  };
}
