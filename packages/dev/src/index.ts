export { DevFleet } from './fleet/DevFleet.js';
export type { DevFleetOptions } from './fleet/DevFleetOptions.js';
export { createDocuments } from './fleet/createDocuments.js';
export { defaultFleetOptions } from './fleet/defaultFleetOptions.js';
