/**
 * Bandwidth budget for links between regions, split evenly over the maximum number of entry VMs.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type Configuration from '@burdockcove/types/Configuration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Link from '@burdockcove/types/Link';
import type LinkBudget from '@burdockcove/types/LinkBudget';
import type Clock from '@burdockcove/runtime/Clock';

/** In any window of this length, the traffic of all entry VMs stays within the link's limit. */
const WINDOW_MS = 1_000;
const BYTES_PER_MEGABIT = 125_000;
/** Fraction of a window's bytes that an idle link can accumulate as burst. */
const BURST_RATIO = 0.1;

/**
 * Tokens of one direction; negative while responses that were larger than expected are paid off.
 */
interface Bucket {
  readonly burstBytes: number;
  readonly bytesPerMs: number;
  tokens: number;
  refilledAtMs: number;
}

/**
 * One token bucket for each direction. Each holds the burst and refills at the remaining rate of
 * the VM's share, so a window passes at most burst + rate x window = share. Bytes in excess of a
 * reservation become a debt that later reservations have to wait for.
 */
export default class TokenBucketLinkBudget implements LinkBudget {
  private buckets = new Map<string, Bucket>();

  constructor(
    private readonly clock: Clock,
    configuration: ConfigurationSource,
  ) {
    const current = configuration.getCurrent();
    if (isSome(current)) {
      this.applyConfiguration(current.value.configuration);
    }
    configuration.subscribe((accepted) => this.applyConfiguration(accepted.configuration));
  }

  reserveBytes(fromRegion: string, toRegion: string, bytes: number): boolean {
    if (fromRegion === toRegion) {
      return true;
    }
    const bucket = this.refillBucket(fromRegion, toRegion);
    if (bucket === undefined || bucket.tokens < Math.min(bytes, bucket.burstBytes)) {
      return false;
    }
    bucket.tokens -= bytes;
    return true;
  }

  settleBytes(fromRegion: string, toRegion: string, reserved: number, used: number): void {
    const bucket = this.refillBucket(fromRegion, toRegion);
    if (fromRegion !== toRegion && bucket !== undefined) {
      bucket.tokens = Math.min(bucket.burstBytes, bucket.tokens + reserved - used);
    }
  }

  estimateWaitMs(fromRegion: string, toRegion: string, bytes: number): number {
    if (fromRegion === toRegion) {
      return 0;
    }
    const bucket = this.refillBucket(fromRegion, toRegion);
    if (bucket === undefined) {
      return Infinity;
    }
    const missing = Math.min(bytes, bucket.burstBytes) - bucket.tokens;
    return Math.max(0, missing / bucket.bytesPerMs);
  }

  private applyConfiguration(configuration: Configuration): void {
    const previous = this.buckets;
    this.buckets = new Map();
    for (const link of configuration.links) {
      const [first, second] = link.between;
      this.addBucket(`${first}>${second}`, link, configuration.maxEntryVms, previous);
      this.addBucket(`${second}>${first}`, link, configuration.maxEntryVms, previous);
    }
  }

  /** A changed limit keeps the existing debt and grants no new burst. */
  private addBucket(
    direction: string,
    link: Link,
    maxEntryVms: number,
    previous: ReadonlyMap<string, Bucket>,
  ): void {
    const windowBytes =
      (link.megabitsPerSecond * BYTES_PER_MEGABIT * WINDOW_MS) / 1_000 / maxEntryVms;
    const burstBytes = windowBytes * BURST_RATIO;
    const tokens = Math.min(burstBytes, previous.get(direction)?.tokens ?? 0);
    this.buckets.set(direction, {
      burstBytes,
      bytesPerMs: (windowBytes - burstBytes) / WINDOW_MS,
      tokens,
      refilledAtMs: this.clock.getMonotonicMs(),
    });
  }

  private refillBucket(fromRegion: string, toRegion: string): Bucket | undefined {
    const bucket = this.buckets.get(`${fromRegion}>${toRegion}`);
    if (bucket !== undefined) {
      const nowMs = this.clock.getMonotonicMs();
      const filled = bucket.tokens + (nowMs - bucket.refilledAtMs) * bucket.bytesPerMs;
      bucket.tokens = Math.min(bucket.burstBytes, filled);
      bucket.refilledAtMs = nowMs;
    }
    return bucket;
  }
}
