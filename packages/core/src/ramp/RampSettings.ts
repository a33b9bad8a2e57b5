import type { ServiceDocument } from '../document/ServiceDocument.js';

/** The `[ramp]` section of a document. */
export type RampSettings = ServiceDocument['ramp'];
