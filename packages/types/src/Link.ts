/**
 * The network link between two regions.
 */

/** One link; the limit holds for each direction by itself. */
interface Link {
  readonly between: readonly [string, string];
  /** Bandwidth each way that burdockcove may use, in Mbit/s. */
  readonly megabitsPerSecond: number;
  /** One-way delay in milliseconds. */
  readonly oneWayMs: number;
}

export default Link;
