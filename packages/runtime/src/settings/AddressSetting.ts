import { z } from 'zod';

/** Setting with the `IP:PORT` of a process. */
export const AddressSetting = z.string().regex(/^[^:]+:\d{1,5}$/, 'must be IP:PORT');

export type AddressSetting = z.infer<typeof AddressSetting>;
