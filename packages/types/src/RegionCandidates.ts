/**
 * The targets of one region that may serve a request.
 */
import type Target from './Target.js';

/** Targets that are leaving are not among them. */
interface RegionCandidates {
  readonly region: string;
  /** One-way delay from this entry VM's region, in milliseconds; zero for its own region. */
  readonly oneWayMs: number;
  readonly targets: readonly Target[];
}

export default RegionCandidates;
