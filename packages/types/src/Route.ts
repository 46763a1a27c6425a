/**
 * One part of a selector's traffic and the labelled targets that take it.
 */
import type Labels from './Labels.js';

/** Targets whose labels (with those of their place, and `region`, `failureDomain`) include all of `targets`. */
interface Route {
  readonly targets: Labels;
  /** Relative weight among the routes of the selector, zero or more. */
  readonly weight: number;
}

export default Route;
