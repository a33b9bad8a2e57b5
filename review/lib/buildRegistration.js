/** Builds the registration of a worker. @param changes fields that it has instead */
export function buildRegistration(address, changes = {}) {
  return {
    service: 'orders',
    address,
    zone: 'zone-a',
    version: 'v1',
    capacity: 6,
    state: 'ready',
    cold_left_ms: 0,
    sequence: 1,
    born: Date.now() - 60_000,
    ...changes,
  };
}
