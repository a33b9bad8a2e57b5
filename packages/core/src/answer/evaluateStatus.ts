const SWITCHING_PROTOCOLS = 101;

/**
 * Decides what the status of a response head is.
 *
 * - `informational`: the head of another response follows.
 * - `final`: the head belongs to the response itself.
 * - `invalid`: no response has it, so that nothing on its connection can be trusted. This includes
 *   101, because no request asks for an upgrade.
 *
 * @param status as the parser of the connection read it; 0 where it read none
 */
export function evaluateStatus(status: number): 'informational' | 'final' | 'invalid' {
  if (!Number.isInteger(status) || status === SWITCHING_PROTOCOLS) return 'invalid';
  if (status >= 100 && status <= 199) return 'informational';
  return status >= 200 && status <= 599 ? 'final' : 'invalid';
}
