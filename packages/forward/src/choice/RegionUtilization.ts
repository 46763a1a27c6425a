/**
 * The share of each region's slots that this entry VM uses.
 */
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type TargetEvaluation from './TargetEvaluation.js';

const AVERAGING_TIME_MS = 1_000;

interface Average {
  value: number;
  atMs: number;
}

type TargetSlots = Pick<TargetEvaluation, 'state' | 'free'>;

/** Keyed by targets as well, since the routes of one service may use different targets of a region. */
function buildKey({ region, targets }: RegionCandidates): string {
  const first = targets[0];
  return `${first?.service ?? ''}/${region}/${first?.name ?? ''}/${String(targets.length)}`;
}

/** Averages over about a second, so that a single request does not decide the utilization of a region with few slots. */
export default class RegionUtilization {
  private readonly averages = new Map<string, Average>();

  /** Adds the current utilization and returns the average, 0 to 1. A region without slots counts as full. */
  update(candidates: RegionCandidates, targets: readonly TargetSlots[], nowMs: number): number {
    const key = buildKey(candidates);
    const inUse = targets.reduce((sum, { state }) => sum + state.inFlight, 0);
    const free = targets.reduce((sum, target) => sum + Math.max(0, target.free), 0);
    const current = inUse + free === 0 ? 1 : inUse / (inUse + free);
    const average = this.averages.get(key);
    if (average === undefined) {
      this.averages.set(key, { value: current, atMs: nowMs });
      return current;
    }
    const weight = 1 - Math.exp((average.atMs - nowMs) / AVERAGING_TIME_MS);
    average.value += (current - average.value) * weight;
    average.atMs = nowMs;
    return average.value;
  }
}
