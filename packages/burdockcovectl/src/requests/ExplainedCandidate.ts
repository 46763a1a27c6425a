/**
 * A target that an entry VM compares for a request.
 */

/** Times are in milliseconds. */
interface ExplainedCandidate {
  readonly target: string;
  readonly region: string;
  /** Position in the object's order of preference, from 0. */
  readonly preference: number;
  readonly isWarm: boolean;
  readonly isCold: boolean;
  readonly isConfirmed: boolean;
  readonly workMs: number;
  readonly workLeftMs?: number;
  readonly workTimeRatio?: number;
  /** Chance of missing the latency goal, 0 to 1. */
  readonly missChance?: number;
  readonly waitMs: number;
  /** Expected time until the response. */
  readonly endMs: number;
  /** Absent if the target may take the request now. */
  readonly reason?: string;
}

export default ExplainedCandidate;
