/**
 * Whether a target accepts connections.
 *
 * - `listening`: a connection was established.
 * - `refused`: its host rejected the connection, so no process listens at the address.
 * - `silent`: no answer in time; the target, its host or the path may be down.
 */
export type ListenerState = 'listening' | 'refused' | 'silent';
