import { z } from 'zod';

/** Priority of a request, first to last. */
export const Priority = z.enum(['high', 'normal', 'low']);

export type Priority = z.infer<typeof Priority>;
