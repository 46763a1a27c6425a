/**
 * What is expected of a request at one target, from learned work.
 */

/** Times are in milliseconds. */
interface Forecast {
  /** Expected time of the work at the target's present pace. */
  readonly workMs: number;
  /** Work of other requests that the target still has to do. */
  readonly workLeftMs: number;
  /** Time that work takes on the target's machine relative to the usual time. */
  readonly workTimeRatio: number;
  /** Chance that the target has lately handled the object, 0 to 1; 1 for requests without an object. */
  readonly warmChance: number;
  /** Chance that the response comes after the latency goal, 0 to 1. */
  readonly missChance: number;
  /** Chance that the response comes before the request's timeout, 0 to 1; 1 while too little of its kind is known. */
  readonly endChance: number;
  /** Factor on `endChance` by how many requests of the kind have lately ended in time. */
  readonly endChanceFactor: number;
  /** Requests at the target as a share of its slots; more than 1 if some wait. */
  readonly occupancy: number;
  /** The latency goal, or the usual work where there is none. */
  readonly goalMs: number;
}

export default Forecast;
