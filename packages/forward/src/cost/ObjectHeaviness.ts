/**
 * How much heavier or lighter than its kind the requests for an object are, in a table of fixed size.
 */
import type Clock from '@burdockcove/runtime/Clock';
import hashText from '@burdockcove/runtime/hashText';

/** Entries of the table; 20 bytes each. An object replaces the one that it shares an entry with. */
const ENTRIES = 8192;
const TAG_SEED = 7;
/** Time in which the weight of what was learned halves. */
const HALF_LIFE_MS = 120_000;
/** Samples at which an object's mean counts half; one unusual request says little about the next. */
const HALF_TRUST_SAMPLES = 3;
const MAX_SAMPLES = 20;

/** Values are natural logarithms of the work relative to its kind; 0 is usual. */
export default class ObjectHeaviness {
  private readonly tags = new Uint32Array(ENTRIES);

  private readonly means = new Float32Array(ENTRIES);

  private readonly weights = new Float32Array(ENTRIES);

  private readonly recordedAtMs = new Float64Array(ENTRIES);

  constructor(private readonly clock: Clock) {}

  /** Returns the size of the table in bytes. */
  getByteLength(): number {
    const tables = [this.tags, this.means, this.weights, this.recordedAtMs];
    return tables.reduce((sum, { byteLength }) => sum + byteLength, 0);
  }

  /** Returns what is known of the object; 0 if nothing is. */
  estimate(objectKey: string): number {
    const hash = hashText(objectKey);
    const index = hash % ENTRIES;
    if (this.tags[index] !== hashText(objectKey, TAG_SEED)) {
      return 0;
    }
    const weight = this.computeWeight(index);
    return ((this.means[index] ?? 0) * weight) / (weight + HALF_TRUST_SAMPLES);
  }

  /** Records the work of one request relative to its kind; `sampleWeight` is 0 to 1. */
  record(objectKey: string, value: number, sampleWeight: number): void {
    const index = hashText(objectKey) % ENTRIES;
    const tag = hashText(objectKey, TAG_SEED);
    const isKnown = this.tags[index] === tag;
    const known = isKnown ? this.computeWeight(index) : 0;
    const mean = isKnown ? (this.means[index] ?? 0) : 0;
    const weight = Math.min(MAX_SAMPLES, known + sampleWeight);
    this.tags[index] = tag;
    this.means[index] = weight > 0 ? mean + (sampleWeight / weight) * (value - mean) : 0;
    this.weights[index] = weight;
    this.recordedAtMs[index] = this.clock.getMonotonicMs();
  }

  private computeWeight(index: number): number {
    const ageMs = this.clock.getMonotonicMs() - (this.recordedAtMs[index] ?? 0);
    return (this.weights[index] ?? 0) * 2 ** (-ageMs / HALF_LIFE_MS);
  }
}
