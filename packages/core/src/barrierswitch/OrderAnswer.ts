/**
 * Result of an order to a rank.
 *
 * - `done`: carried out, or begun where it takes time.
 * - `refused`: not carried out.
 * - `lost`: unanswered; the order may still be carried out seconds later.
 */
export type OrderAnswer = 'done' | 'refused' | 'lost';
