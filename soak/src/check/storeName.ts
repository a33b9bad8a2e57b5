/** Name of the store in the spans of a ledger. */
export const STORE = 'store';
