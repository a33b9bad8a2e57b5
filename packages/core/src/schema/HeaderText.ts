import { z } from 'zod';

/** A name that is sent as the value of an HTTP header. */
export const HeaderText = z
  .string()
  .min(1)
  .max(200)
  .regex(/^[\x20-\x7e\x80-\xff]*$/, 'must fit into an HTTP header');

export type HeaderText = z.infer<typeof HeaderText>;
