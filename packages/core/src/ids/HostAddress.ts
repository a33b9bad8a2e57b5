import { z } from 'zod';
import { numericBounds } from '../schema/numericBounds.js';

/** A `HOST:PORT` address: an IPv4 address or the name of a host, and a port from 1 to 65535. */
export const HostAddress = z
  .string()
  .regex(/^[A-Za-z0-9_][A-Za-z0-9._-]{0,252}:[1-9]\d{0,4}$/, 'must be HOST:PORT')
  .refine((address) => Number(address.split(':')[1]) <= numericBounds.port, 'must be HOST:PORT');

export type HostAddress = z.infer<typeof HostAddress>;
