import { z } from 'zod';

/**
 * Result of an order to a rank.
 *
 * - `done`: carried out, or begun where it takes time.
 * - `refused`: not carried out.
 * - `lost`: unanswered; the order may still be carried out seconds later.
 */
export const OrderAnswer = z.enum(['done', 'refused', 'lost']);

export type OrderAnswer = z.infer<typeof OrderAnswer>;
