/**
 * Where one request may go.
 */
import type RegionCandidates from './RegionCandidates.js';

/** The outcome of applying the selectors to one request. */
interface RoutePlan {
  /** The selector that decided; empty where none matched, so that every target of the service may serve. */
  readonly selector: string;
  /** Region of the client, empty where unknown. */
  readonly clientRegion: string;
  /** Position of the chosen route among the selector's routes. */
  readonly routeIndex: number;
  /** Service whose targets were chosen; differs from the caller's where traffic is split over services. */
  readonly targetService: string;
  /** Regions in order of preference, nearest first; more than one only where overflow is allowed. */
  readonly regions: readonly RegionCandidates[];
}

export default RoutePlan;
