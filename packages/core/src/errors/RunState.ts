import { z } from 'zod';

/** Whether a request was run: `no` means certainly not, `unknown` means that it may have been. */
export const RunState = z.enum(['no', 'unknown', 'yes']);

export type RunState = z.infer<typeof RunState>;
