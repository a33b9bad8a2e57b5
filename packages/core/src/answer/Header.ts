import { z } from 'zod';

/** One HTTP header as passed between processes. */
export const Header = z.object({ name: z.string(), value: z.string() });

export type Header = z.infer<typeof Header>;
