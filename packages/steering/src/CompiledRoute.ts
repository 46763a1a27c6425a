/**
 * One route of a selector with the targets that may serve.
 */
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type Route from '@burdockcove/types/Route';

/** Regions are in order of preference; none where every target of the route is leaving. */
interface CompiledRoute {
  readonly route: Route;
  readonly regions: readonly RegionCandidates[];
}

export default CompiledRoute;
