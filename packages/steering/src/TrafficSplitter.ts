/**
 * Splitting of traffic by weight that keeps an object on one part.
 *
 * Objects are hashed to parts, so that each is warm in one part only. Since some objects are asked for more often than
 * others, a part that is ahead of its weight passes requests on to the part that is furthest behind.
 */
import murmurhash from 'murmurhash';

const HASH_RANGE = 2 ** 32;
/** How far a part's share may run ahead of its weight, of 1. */
const LEAD_TOLERANCE_RATIO = 0.03;
/** Requests after which the counts are halved, so that they follow the present. */
const HALVING_THRESHOLD_REQUESTS = 400;
/** A part may be ahead by as many requests regardless of the tolerance. */
const MIN_LEAD_REQUESTS = 2;

/** Counts this VM's requests. */
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

  /** Position of the part for the key; without a key each request counts as another object. */
  choosePart(key: string | undefined): number {
    if (this.shares.length === 1) {
      return 0;
    }
    this.requestCount += 1;
    const preferred = this.hashPart(key ?? String(this.requestCount));
    const part = this.isAhead(preferred) ? this.findFurthestBehind() : preferred;
    this.record(part);
    return part;
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
