/**
 * The work of one kind of request, at a target that has lately handled the object (warm) and at one that has not (first
 * visit).
 *
 * Nobody tells whether another VM has sent the object to the target, so each sample counts for the more likely of the two,
 * by its chance. The two means are tied by the ratio that all kinds share: a kind of which only warm visits are
 * known has an estimate for first visits too.
 */
import EndChanceCorrection from './EndChanceCorrection.js';
import LogAverage from './LogAverage.js';
import type Warmth from './Warmth.js';
import WarmShares from './WarmShares.js';

/** Weight of the initial estimate, in samples; it loses it with the first responses. */
const INITIAL_WEIGHT = 0.5;
/** Largest weight, in samples, of the estimate that follows from the other mean and the ratio. */
const MAX_TIE_WEIGHT = 2;
/** Samples of both means from which on the kind contributes to the ratio. */
const MIN_RATIO_SAMPLES = 3;
/** Samples from which on the model is settled. */
const SETTLED_SAMPLES = 10;
const RATIO_SAMPLE_WEIGHT = 0.2;
/** Density far from both means, so that a request of unusual work says nothing about warmth. */
const MIN_DENSITY = 0.02;

function computeDensity(deviation: number, spread: number): number {
  return MIN_DENSITY + Math.exp(-0.5 * (deviation / spread) ** 2);
}

/** Works are in milliseconds of a machine at its usual pace; their logarithms are natural. */
export default class WorkModel {
  private readonly firstVisit = new LogAverage();

  private readonly warm = new LogAverage();

  private readonly shares = new WarmShares();

  private readonly initialLog: number;

  private samples = 0;

  readonly endChanceCorrection = new EndChanceCorrection();

  /** `warmRatio` holds the logarithm of warm over first-visit work of all kinds. */
  constructor(
    initialMs: number,
    private readonly warmRatio: LogAverage,
  ) {
    this.initialLog = Math.log(initialMs);
  }

  /** Returns the logarithm of the usual work of a first visit. */
  getFirstVisitLog(): number {
    return this.blend(this.firstVisit, this.warm, -this.warmRatio.getMean(), this.initialLog);
  }

  /** Returns the logarithm of the usual work at a warm target. */
  getWarmLog(): number {
    const ratio = this.warmRatio.getMean();
    return this.blend(this.warm, this.firstVisit, ratio, this.initialLog + ratio);
  }

  /** Returns the standard deviation of the logarithm of the work. */
  getSpread(isWarm: boolean): number {
    return (isWarm ? this.warm : this.firstVisit).getSpread();
  }

  /** Returns the chance that the target is warm, 0 to 1. */
  getWarmShare(warmth: Warmth): number {
    return this.shares.getShare(warmth);
  }

  /** Returns the number of samples that the model rests on, by their weight. */
  getWeight(): number {
    return this.warm.getWeight() + this.firstVisit.getWeight();
  }

  /** Whether enough responses are known to judge by the model alone. */
  isSettled(): boolean {
    return this.samples >= SETTLED_SAMPLES;
  }

  /**
   * Records the work of a request, `heavinessLog` being what is known of its object; `weight` is 0 to 1. Returns the
   * logarithm of the work relative to the usual one.
   */
  record(workMs: number, warmth: Warmth, heavinessLog: number, weight: number): number {
    this.samples += 1;
    const workLog = Math.log(workMs);
    const typicalLog = workLog - heavinessLog;
    const [warmLog, firstVisitLog] = [this.getWarmLog(), this.getFirstVisitLog()];
    const share = this.shares.getShare(warmth);
    const warmDensity = share * computeDensity(typicalLog - warmLog, this.warm.getSpread());
    const firstDensity =
      (1 - share) * computeDensity(typicalLog - firstVisitLog, this.firstVisit.getSpread());
    const chance = warmDensity / (warmDensity + firstDensity);
    this.shares.record(warmth, chance, weight);
    if (chance > 0.5) {
      this.warm.record(typicalLog, weight * chance);
    } else {
      this.firstVisit.record(typicalLog, weight * (1 - chance));
    }
    this.recordRatio();
    return workLog - (chance * warmLog + (1 - chance) * firstVisitLog);
  }

  private recordRatio(): void {
    if (Math.min(this.warm.getWeight(), this.firstVisit.getWeight()) >= MIN_RATIO_SAMPLES) {
      const ratio = this.warm.getMean() - this.firstVisit.getMean();
      this.warmRatio.record(Math.min(0, ratio), RATIO_SAMPLE_WEIGHT);
    }
  }

  private blend(own: LogAverage, other: LogAverage, tie: number, initialLog: number): number {
    const ownWeight = own.getWeight();
    const tieWeight = Math.min(MAX_TIE_WEIGHT, other.getWeight()) / (1 + ownWeight);
    const initialWeight = INITIAL_WEIGHT / (1 + ownWeight + other.getWeight());
    const sum =
      ownWeight * own.getMean() + tieWeight * (other.getMean() + tie) + initialWeight * initialLog;
    return sum / (ownWeight + tieWeight + initialWeight);
  }
}
