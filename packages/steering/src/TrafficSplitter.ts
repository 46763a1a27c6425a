/**
 * Splits traffic by weight while keeping each object on one part.
 *
 * Objects are hashed to parts so that each object is cached by one part only. Since some objects
 * are requested more often than others, requests for a part that exceeds its weight go to the part
 * that is furthest below its weight.
 */
import murmurhash from 'murmurhash';

const HASH_RANGE = 2 ** 32;
/** How far a part's share may exceed its weight, as a fraction of all requests. */
const LEAD_TOLERANCE_RATIO = 0.03;
/** Number of requests after which the counts are halved, so that recent requests dominate. */
const HALVING_THRESHOLD_REQUESTS = 400;
/** A part may be ahead by this many requests regardless of the tolerance. */
const MIN_LEAD_REQUESTS = 2;

/** Counts only the requests of this VM. */
export default class TrafficSplitter {
  private readonly shares: readonly number[];

  private readonly counts: number[];

  private total = 0;

  private requestCount = 0;

  constructor(weights: readonly number[]) {
    const sum = weights.reduce((left, right) => left + right, 0);
    this.shares = weights.map((weight) => (sum > 0 ? weight / sum : 1 / weights.length));
    this.counts = weights.map(() => 0);
  }

  /**
   * Returns the index of the part for the key; without a key, each request counts as a separate
   * object.
   */
  choosePart(key: string | undefined): number {
    if (this.shares.length === 1) {
      return 0;
    }
    const part = this.findPart(key);
    this.requestCount += 1;
    this.record(part);
    return part;
  }

  /** Returns the part that `choosePart` would choose now; counts nothing. */
  findPart(key: string | undefined): number {
    const preferred = this.hashPart(key ?? String(this.requestCount + 1));
    return this.isAhead(preferred) ? this.findFurthestBehind() : preferred;
  }

  private hashPart(key: string): number {
    let point = (murmurhash.v3(`part ${key}`) + 0.5) / HASH_RANGE;
    for (let part = 0; part < this.shares.length; part += 1) {
      point -= this.shares[part] ?? 0;
      if (point < 0) {
        return part;
      }
    }
    return this.shares.length - 1;
  }

  private computeLead(part: number): number {
    return (this.counts[part] ?? 0) - (this.shares[part] ?? 0) * this.total;
  }

  private isAhead(part: number): boolean {
    return this.computeLead(part) >= Math.max(MIN_LEAD_REQUESTS, LEAD_TOLERANCE_RATIO * this.total);
  }

  private findFurthestBehind(): number {
    const leads = this.shares.map((_share, part) => this.computeLead(part));
    return leads.indexOf(Math.min(...leads));
  }

  private record(part: number): void {
    this.counts[part] = (this.counts[part] ?? 0) + 1;
    this.total += 1;
    if (this.total >= HALVING_THRESHOLD_REQUESTS) {
      this.counts.forEach((count, index) => {
        this.counts[index] = count / 2;
      });
      this.total /= 2;
    }
  }
}
