/**
 * One route of a selector with its candidate targets.
 */
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type Route from '@burdockcove/types/Route';

/** Regions are in order of preference; empty if all targets of the route are leaving. */
interface CompiledRoute {
  readonly route: Route;
  readonly regions: readonly RegionCandidates[];
}

export default CompiledRoute;
