import type { GroupLoad } from './GroupLoad.js';
import type { RouteTarget } from './RouteTarget.js';
import type { TargetView } from './TargetView.js';

/** A target of a service with its observed state and the load of its peers. */
export interface RouteMember {
  readonly target: RouteTarget;
  readonly view: TargetView;
  readonly load: GroupLoad;
}
