/**
 * How much work arrives.
 */

/** Work of one service that enters burdockcove in one region. */
interface Demand {
  readonly service: string;
  readonly region: string;
  /** Requests at targets at once. */
  readonly inFlight: number;
  /** Requests a second; zero where unknown, so that links are not judged. */
  readonly perSecond: number;
}

export default Demand;
