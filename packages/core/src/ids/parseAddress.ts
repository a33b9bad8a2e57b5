import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import { Address } from './Address.js';
import { splitAddress } from './splitAddress.js';

/**
 * Parses an address to which a connection or a datagram is to go.
 *
 * @returns `no_target` if it is not an {@link Address}; sockets would throw or look up a name
 */
export function parseAddress(
  address: string,
): Result<{ readonly host: string; readonly port: number }, Failure> {
  if (Address.safeParse(address).success) return Ok(splitAddress(address));
  return fail('no_target', `${JSON.stringify(address.slice(0, 100))} is not an IP:PORT address`);
}
