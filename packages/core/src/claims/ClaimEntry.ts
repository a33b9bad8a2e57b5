import type { Revision } from '../ids/Revision.js';
import type { Claim } from './Claim.js';
import type { ClaimEnd } from './ClaimEnd.js';
import type { ClaimRecord } from './ClaimRecord.js';
import type { ClaimWaiter } from './ClaimWaiter.js';
import type { WriteOrder } from './WriteOrder.js';

/** What a ledger knows about a key that is in progress here or at another agent. */
export class ClaimEntry {
  readonly storeKey: string;

  /**
   * `leasing`: waits for a lease. `creating`: the claim is being written. `held`: given to a request
   * that has not been handed over. `running`: handed over. `ending`: its end is being written.
   * `releasing`: the claim is being withdrawn. `watching`: another agent holds the claim.
   */
  readonly state:
    'leasing' | 'creating' | 'held' | 'running' | 'ending' | 'releasing' | 'watching' = 'leasing';

  readonly waiters: readonly ClaimWaiter[];

  /** The request that the claim is for. */
  readonly holder: ClaimWaiter;

  /** The claim of another agent while `watching`. */
  readonly other: ClaimRecord | null = null;

  readonly operationId: string = '';

  /** Revision that the key has, or must have; 0 for an absent key. */
  readonly revision: Revision | 0 = 0;

  readonly lease: string = '';

  /** Wall time of the claim, Unix milliseconds. */
  readonly claimedWallMs: number = 0;

  /** The claim's write while `creating`. */
  readonly order: Readonly<WriteOrder> | null = null;

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
