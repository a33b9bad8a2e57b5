import { z } from 'zod';

/**
 * Whether an agent accepts new requests, and if not, why.
 *
 * - `zone_out`: operators took the zone of the target out of the service.
 * - `leaving`: the target shuts down or is not listed in the document, or the service was deleted.
 * - `isolated`: no recent contact with the store or another zone.
 * - `not_ready`: the configuration is not known yet.
 */
export const AdmissionState = z.enum(['serving', 'zone_out', 'leaving', 'isolated', 'not_ready']);

export type AdmissionState = z.infer<typeof AdmissionState>;
