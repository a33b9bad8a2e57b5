import { z } from 'zod';
import { HostAddress } from '../ids/HostAddress.js';
import { InstanceId } from '../ids/InstanceId.js';
import { TargetId } from '../ids/TargetId.js';
import { Zone } from '../ids/Zone.js';

/** One record of the platform's instance list. The list lags behind the actual state. */
export const InstanceRecord = z.object({
  id: InstanceId,
  role: z.enum(['entry', 'agent']),
  zone: Zone,
  /** Address of the process's gRPC server. */
  address: HostAddress,
  /** Base URL for callers; entries only. */
  callerUrl: z.string().optional(),
  /** The target that the agent serves; agents only. */
  target: TargetId.optional(),
  state: z.enum(['live', 'leaving']),
});

export type InstanceRecord = z.infer<typeof InstanceRecord>;
