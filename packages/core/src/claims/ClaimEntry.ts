import type { Revision } from '../ids/Revision.js';
import type { Claim } from './Claim.js';
import type { ClaimEnd } from './ClaimEnd.js';
import type { ClaimRecord } from './ClaimRecord.js';
import type { ClaimWaiter } from './ClaimWaiter.js';
import type { QueuedWrite } from './QueuedWrite.js';

/**
 * State of a key that is in progress at this agent, or at another agent while requests wait here.
 */
export class ClaimEntry {
  readonly storeKey: string;

  /**
   * `leasing`: waits for a lease. `creating`: the claim is being written. `held`: granted to a
   * request that has not been dispatched. `running`: dispatched. `ending`: the outcome is being
   * written. `releasing`: the claim is being withdrawn. `watching`: another agent holds the claim.
   */
  readonly state:
    'leasing' | 'creating' | 'held' | 'running' | 'ending' | 'releasing' | 'watching' = 'leasing';

  readonly waiters: readonly ClaimWaiter[];

  /** The request that the claim is for. */
  readonly holder: ClaimWaiter;

  /** The claim of the agent that holds the key, while `watching`. */
  readonly otherClaim: ClaimRecord | null = null;

  readonly operationId: string = '';

  /** Current revision of the key, or the one that the next write expects; 0 for an absent key. */
  readonly revision: Revision | 0 = 0;

  readonly lease: string = '';

  /** Wall time of the claim, Unix milliseconds. */
  readonly claimedWallMs: number = 0;

  /** The queued write of the claim while `creating`. */
  readonly pendingWrite: Readonly<QueuedWrite> | null = null;

  readonly claim: Claim | null = null;

  readonly end: ClaimEnd | null = null;

  readonly nextPollMs: number = 0;

  readonly pollMs: number = 0;

  constructor(storeKey: string, holder: ClaimWaiter) {
    this.storeKey = storeKey;
    this.holder = holder;
    this.waiters = [holder];
  }

  update(change: Partial<Omit<ClaimEntry, 'storeKey' | 'update'>>): void {
    Object.assign(this, change);
  }
}
