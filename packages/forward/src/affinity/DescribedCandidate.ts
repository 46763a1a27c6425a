/**
 * What is expected of a request at one target, and whether the target may take it now.
 */
import type ExclusionReason from './ExclusionReason.js';

/** Times are in milliseconds. */
interface DescribedCandidate {
  readonly target: string;
  readonly region: string;
  /** Position in the object's order of preference, from 0. */
  readonly preference: number;
  /** Whether the target has recently handled the object for this VM. */
  readonly isWarm: boolean;
  readonly isCold: boolean;
  /** Whether the store or a health check vouches for what is known of the cold time. */
  readonly isConfirmed: boolean;
  /** Expected work. */
  readonly workMs: number;
  /** Work of other requests that the target still has to do; this and the next two are absent where no work is learned. */
  readonly workLeftMs?: number;
  /** Time that work takes on the target's machine, relative to the usual time. */
  readonly workTimeRatio?: number;
  /** Chance that the response comes after the latency goal, 0 to 1. */
  readonly missChance?: number;
  /** Expected time until a slot is free. */
  readonly waitMs: number;
  /** Expected time until the response. */
  readonly endMs: number;
  /** Absent if the target may take the request now. */
  readonly reason?: ExclusionReason;
}

export default DescribedCandidate;
