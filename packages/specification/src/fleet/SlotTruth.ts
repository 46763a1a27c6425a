/**
 * What really runs at the targets of a simulation.
 */

/** A target's place and the most requests it may ever run at once. */
interface TruthTarget {
  readonly region: string;
  readonly slots: number;
}

/** Counts requests from when their slot was taken until the target ended them. */
export default class SlotTruth {
  private readonly targets = new Map<string, TruthTarget>();

  private readonly running = new Map<string, number>();

  private readonly regionRunning = new Map<string, number>();

  private readonly regionPeaks = new Map<string, number>();

  private readonly regionLimits = new Map<string, number>();

  private exceeded = 0;

  private regionExceeded = 0;

  /** Names a target, or raises its slots; a lower number waits for `lowerTarget`. */
  addTarget(name: string, region: string, slots: number): void {
    const known = this.targets.get(name)?.slots ?? 0;
    this.targets.set(name, { region, slots: Math.max(known, slots) });
  }

  lowerTarget(name: string, slots: number): void {
    const target = this.targets.get(name);
    if (target !== undefined) {
      this.targets.set(name, { ...target, slots });
    }
  }

  setRegionLimit(region: string, limit: number): void {
    this.regionLimits.set(region, limit);
  }

  startRequest(name: string): void {
    const target = this.targets.get(name);
    const running = (this.running.get(name) ?? 0) + 1;
    this.running.set(name, running);
    this.exceeded += running > (target?.slots ?? 0) ? 1 : 0;
    this.addRegion(target?.region ?? '', 1);
  }

  endRequest(name: string): void {
    this.running.set(name, (this.running.get(name) ?? 0) - 1);
    this.addRegion(this.targets.get(name)?.region ?? '', -1);
  }

  countRunning(name: string): number {
    return this.running.get(name) ?? 0;
  }

  countRegionRunning(region: string): number {
    return this.regionRunning.get(region) ?? 0;
  }

  /** Requests that started at a target that ran as many as it may. */
  countExceeded(): number {
    return this.exceeded;
  }

  /** Requests that started in a region that ran as many as it may. */
  countRegionExceeded(): number {
    return this.regionExceeded;
  }

  getRegionPeak(region: string): number {
    return this.regionPeaks.get(region) ?? 0;
  }

  private addRegion(region: string, change: number): void {
    const running = (this.regionRunning.get(region) ?? 0) + change;
    this.regionRunning.set(region, running);
    this.regionPeaks.set(region, Math.max(running, this.getRegionPeak(region)));
    this.regionExceeded +=
      change > 0 && running > (this.regionLimits.get(region) ?? Infinity) ? 1 : 0;
  }
}
