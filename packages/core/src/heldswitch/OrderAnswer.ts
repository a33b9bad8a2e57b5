/**
 * Answer to an order: carried out or begun, refused, or none. An order without an answer may be
 * carried out seconds later.
 */
export type OrderAnswer = 'done' | 'refused' | 'lost';
