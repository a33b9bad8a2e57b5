/**
 * Why no target takes a request now. `not_formed`: the groups of all targets form at the moment or
 * wait for their first map.
 */
export type StartObstacle = 'no_target' | 'not_formed' | 'overloaded' | 'target_cold';
