/**
 * How much of each region's slots this entry VM uses.
 */
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type TargetVerdict from './TargetVerdict.js';

const AVERAGE_OVER_MS = 1_000;

interface Average {
  value: number;
  atMs: number;
}

type Use = Pick<TargetVerdict, 'state' | 'free'>;

/** Routes of one service may use different targets of a region. */
function buildKey({ region, targets }: RegionCandidates): string {
  const first = targets[0];
  return `${first?.service ?? ''}/${region}/${first?.name ?? ''}/${String(targets.length)}`;
}

/** An average over about a second, so that a region of few slots is not judged by one request. */
export default class RegionUse {
  private readonly averages = new Map<string, Average>();

  /** Takes in what is in use now and returns the average, 0 to 1. A region without slots counts as full. */
  update(candidates: RegionCandidates, targets: readonly Use[], nowMs: number): number {
    const key = buildKey(candidates);
    const inUse = targets.reduce((sum, { state }) => sum + state.inFlight, 0);
    const free = targets.reduce((sum, verdict) => sum + Math.max(0, verdict.free), 0);
    const current = inUse + free === 0 ? 1 : inUse / (inUse + free);
    const average = this.averages.get(key);
    if (average === undefined) {
      this.averages.set(key, { value: current, atMs: nowMs });
      return current;
    }
    const weight = 1 - Math.exp((average.atMs - nowMs) / AVERAGE_OVER_MS);
    average.value += (current - average.value) * weight;
    average.atMs = nowMs;
    return average.value;
  }
}
