import { z } from 'zod';

/** The name of a service; a model name in chat requests. */
export const ServiceName = z.string().min(1).max(200).brand<'ServiceName'>();

export type ServiceName = z.infer<typeof ServiceName>;
