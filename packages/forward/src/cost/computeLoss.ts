/**
 * Computes the expected loss of sending a request to a target.
 *
 * A response within the latency goal has the full value. The loss counts the chance to miss it, then the time until the
 * response, then what the choice costs other requests: the slots it uses, more so where they are scarce, and the object
 * that a first visit evicts.
 */
import type Forecast from './Forecast.js';

/** Loss of one latency goal's time until the response. Small next to a certain miss, so that time decides between likes. */
const TIME_WEIGHT = 0.15;
/** Loss of one latency goal's work, whatever the target's load. */
const WORK_WEIGHT = 0.1;
/** Loss of one latency goal's work at a target whose slots are all in use, to the requests that wait behind it. */
const CROWDING_WEIGHT = 0.3;
/** Loss by the eviction of another object, which then needs a first visit itself. */
const EVICTION_LOSS = 0.3;
/** Multiples of the goal beyond which more time or work makes no difference. */
const MAX_GOALS = 20;

interface LossInput {
  readonly forecast: Forecast;
  /** Position in the object's preference order, from 0. */
  readonly rank: number;
  /** Expected time until the response, in milliseconds. */
  readonly costMs: number;
}

/** Returns 0 or more; 1 is the loss of a response that is surely late, apart from its time and work. */
export default function computeLoss({ forecast, rank, costMs }: LossInput): number {
  const { missChance, workMs, occupancy, warmChance, goalMs } = forecast;
  const endGoals = Math.min(MAX_GOALS, costMs / goalMs);
  const workGoals = Math.min(MAX_GOALS, workMs / goalMs);
  const crowding = Math.min(1, occupancy) ** 2;
  const evictionLoss = rank === 0 ? 0 : EVICTION_LOSS * (1 - warmChance);
  return (
    missChance +
    TIME_WEIGHT * endGoals +
    (WORK_WEIGHT + CROWDING_WEIGHT * crowding) * workGoals +
    evictionLoss
  );
}
