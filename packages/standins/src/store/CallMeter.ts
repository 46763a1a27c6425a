/**
 * The store stand-in's rate limits and counts.
 */
import type Clock from '@burdockcove/runtime/Clock';

const MS_PER_SECOND = 1_000;

/** Limits in calls a second. */
interface CallLimits {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Counts calls in whole seconds; each open watch takes one read of every second. */
export default class CallMeter {
  private second = -1;

  private reads = 0;

  private writes = 0;

  private openWatches = 0;

  private refused = 0;

  private peakReads = 0;

  private peakWrites = 0;

  private readonly counts = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly limits: CallLimits,
  ) {}

  /** Counts a call of the kind; false where the limit of this second is used up. */
  takeRead(kind: string): boolean {
    this.startSecond();
    this.count(kind);
    this.reads += 1;
    this.peakReads = Math.max(this.peakReads, this.reads + this.openWatches);
    return this.judge(this.reads + this.openWatches <= this.limits.readsPerSecond);
  }

  /** As `takeRead`, for writes. */
  takeWrite(kind: string): boolean {
    this.startSecond();
    this.count(kind);
    this.writes += 1;
    this.peakWrites = Math.max(this.peakWrites, this.writes);
    return this.judge(this.writes <= this.limits.writesPerSecond);
  }

  openWatch(): void {
    this.openWatches += 1;
  }

  closeWatch(): void {
    this.openWatches -= 1;
  }

  getOpenWatches(): number {
    return this.openWatches;
  }

  /** Calls so far by kind, refused ones among them. */
  getCounts(): ReadonlyMap<string, number> {
    return this.counts;
  }

  getRefused(): number {
    return this.refused;
  }

  /** Most reads of any one second, with one added for each open watch. */
  getPeakReads(): number {
    return this.peakReads;
  }

  /** Most writes of any one second. */
  getPeakWrites(): number {
    return this.peakWrites;
  }

  private startSecond(): void {
    const second = Math.floor(this.clock.getMonotonicMs() / MS_PER_SECOND);
    if (second !== this.second) {
      this.second = second;
      this.reads = 0;
      this.writes = 0;
    }
  }

  private count(kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
  }

  private judge(allowed: boolean): boolean {
    this.refused += allowed ? 0 : 1;
    return allowed;
  }
}
