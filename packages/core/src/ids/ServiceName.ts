import { z } from 'zod';

/** The name of a service; chat requests use it as the model name. */
export const ServiceName = z.string().min(1).max(200).brand<'ServiceName'>();

export type ServiceName = z.infer<typeof ServiceName>;
