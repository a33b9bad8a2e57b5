import type { z } from 'zod';
import { Counter } from '../schema/Counter.js';

/** A revision of the store; increases with every change. */
export const Revision = Counter.brand<'Revision'>();

export type Revision = z.infer<typeof Revision>;
