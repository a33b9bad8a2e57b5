import { z } from 'zod';

/** Priority of a request, the most urgent first. */
export const Priority = z.enum(['high', 'normal', 'low']);

export type Priority = z.infer<typeof Priority>;
