import { z } from 'zod';

/** The name of a workspace. */
export const Workspace = z.string().min(1).max(200).brand<'Workspace'>();

export type Workspace = z.infer<typeof Workspace>;
