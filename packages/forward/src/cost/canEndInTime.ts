/**
 * Whether a request has enough of a chance to end at a target before its timeout.
 *
 * A request whose timeout passes at a target has an unknown outcome and is lost to the caller. One that is refused at once
 * can return, but its response then mostly comes after the latency goal, so that it keeps the value of a late response.
 * Where a slot is free, sending is therefore better from that chance on. Where requests wait for a slot, sending one more
 * makes another one late, which then loses the rest of its value, so the chance has to be at least as large as that loss.
 */
import type RankedTarget from '../affinity/RankedTarget.js';

/** Value of a response after the latency goal to a caller, of that of one within it: 0.15 to 0.3. */
const LATE_VALUE = 0.2;
const MIN_CHANCE_WITH_FREE_SLOT = LATE_VALUE;
const MIN_CHANCE_IN_QUEUE = 1 - LATE_VALUE;

/** True where no work is learned. */
export default function canEndInTime({ forecast }: Pick<RankedTarget, 'forecast'>): boolean {
  if (forecast === undefined) {
    return true;
  }
  const { endChance, endChanceFactor, occupancy } = forecast;
  const minChance = occupancy >= 1 ? MIN_CHANCE_IN_QUEUE : MIN_CHANCE_WITH_FREE_SLOT;
  return endChance * endChanceFactor >= minChance;
}
