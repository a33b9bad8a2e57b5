/**
 * Why no target can take a request now.
 *
 * - `no_target`: no target is usable, or their groups stay closed because ranks are missing.
 * - `not_formed`: the groups are forming or wait for their first demand-based expert map.
 * - `overloaded`: no target has a free slot, or passes take too long for another stream.
 * - `target_limited`: all targets have reached the limits that they named.
 * - `target_backoff`: all usable targets turned requests away and want none for a time.
 * - `target_cold`: all usable targets are cold and have used up their rate.
 */
export type UnavailableReason =
  'no_target' | 'not_formed' | 'overloaded' | 'target_limited' | 'target_backoff' | 'target_cold';
