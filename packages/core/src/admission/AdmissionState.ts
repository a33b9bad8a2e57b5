import { z } from 'zod';

/** Whether an agent takes new work, and if not, why. */
export const AdmissionState = z.enum(['serving', 'zone_out', 'leaving', 'isolated', 'not_ready']);

export type AdmissionState = z.infer<typeof AdmissionState>;
