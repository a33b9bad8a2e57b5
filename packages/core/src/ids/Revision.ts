import { z } from 'zod';

/** A revision of the store; increases with every change. */
export const Revision = z.number().int().nonnegative().brand<'Revision'>();

export type Revision = z.infer<typeof Revision>;
