import { z } from 'zod';

/** Whether a request was run: `no` is a promise, `unknown` says that it may have been. */
export const RunState = z.enum(['no', 'unknown', 'yes']);

export type RunState = z.infer<typeof RunState>;
