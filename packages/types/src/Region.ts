/**
 * A region: the place whose capacity is limited as a whole.
 */
import type Labels from './Labels.js';

/** One region as the operators configure it. */
interface Region {
  readonly name: string;
  readonly labels: Labels;
  /** Highest number of requests at once per service name; a service left out is limited by its slots only. */
  readonly maxInFlight: Readonly<Record<string, number>>;
}

export default Region;
