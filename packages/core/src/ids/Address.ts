import { z } from 'zod';

const OCTET = '(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)';

const PORT = '(?:6553[0-5]|655[0-2]\\d|65[0-4]\\d\\d|6[0-4]\\d{3}|[1-5]\\d{4}|[1-9]\\d{0,3})';

/**
 * An `IP:PORT` address: an IPv4 address in its canonical form, so that it needs no name look-up, and
 * a port from 1 to 65535.
 */
export const Address = z
  .string()
  .regex(new RegExp(`^${OCTET}(?:\\.${OCTET}){3}:${PORT}$`), 'must be IP:PORT');

export type Address = z.infer<typeof Address>;
