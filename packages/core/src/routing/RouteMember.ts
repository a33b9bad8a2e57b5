import type { GroupLoad } from './GroupLoad.js';
import type { RouteTarget } from './RouteTarget.js';
import type { TargetView } from './TargetView.js';

/** One target of a service with what is known about it and its peers. */
export interface RouteMember {
  readonly target: RouteTarget;
  readonly view: TargetView;
  readonly load: GroupLoad;
}
