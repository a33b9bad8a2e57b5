import { servicePrefix } from './servicePrefix.js';

/** Returns the store key of a service's document. */
export function getServiceKey(name: string): string {
  return `${servicePrefix}${name}`;
}
