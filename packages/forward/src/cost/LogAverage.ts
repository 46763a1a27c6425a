/**
 * Moving mean and spread of a positive quantity, kept as logarithms so that a few very large samples change them little.
 */

/** Number of samples over which the mean is taken once it is settled. */
const MAX_SAMPLES = 30;
const INITIAL_SPREAD = 0.3;
const MIN_SPREAD = 0.12;
const MAX_SPREAD = 0.4;
/** Samples that the initial spread counts for. */
const SPREAD_SAMPLES = 4;
/** Samples further from the mean than this many spreads count as if they were this far away. */
const MAX_DEVIATION = 3;

/** All values are natural logarithms. */
export default class LogAverage {
  private mean = 0;

  private variance = INITIAL_SPREAD ** 2;

  private weights = 0;

  /** Returns the number of samples that the mean rests on, by their weight; zero without any. */
  getWeight(): number {
    return this.weights;
  }

  /** Returns the mean; zero without any sample. */
  getMean(): number {
    return this.mean;
  }

  /** Returns the standard deviation. */
  getSpread(): number {
    return Math.min(MAX_SPREAD, Math.max(MIN_SPREAD, Math.sqrt(this.variance)));
  }

  /** Records a sample; `weight` is 0 to 1. */
  record(value: number, weight: number): void {
    if (weight <= 0) {
      return;
    }
    if (this.weights === 0) {
      this.mean = value;
      this.weights = weight;
      return;
    }
    const limit = MAX_DEVIATION * this.getSpread();
    const deviation = Math.min(limit, Math.max(-limit, value - this.mean));
    this.weights = Math.min(MAX_SAMPLES, this.weights + weight);
    const rate = weight / this.weights;
    this.mean += rate * deviation;
    const spreadRate = weight / (this.weights + SPREAD_SAMPLES);
    this.variance += spreadRate * (deviation ** 2 - this.variance);
  }
}
