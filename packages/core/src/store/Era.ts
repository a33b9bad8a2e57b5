import { z } from 'zod';

/**
 * Names a history of the store. A store that is restored from a copy has lost what it acknowledged
 * since, and gives out the same revisions again; it then has another era. Revisions and leases of
 * two eras cannot be compared.
 */
export const Era = z.string().brand<'Era'>();

export type Era = z.infer<typeof Era>;
