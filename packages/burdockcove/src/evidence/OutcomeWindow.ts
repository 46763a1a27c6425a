/**
 * Outcomes of the last minute, by service.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type OutcomeCounts from './OutcomeCounts.js';

const BUCKET_MS = 250;
const KEEP_MS = 60_000;

interface Bucket {
  readonly startMs: number;
  answered: number;
  failed: number;
  refused: number;
}

/** Counts in buckets of a quarter of a second; older ones are forgotten. */
export default class OutcomeWindow {
  private readonly buckets = new Map<string, Bucket[]>();

  constructor(private readonly clock: Clock) {}

  /** Counts one request. */
  recordOutcome(service: string, kind: keyof OutcomeCounts): void {
    const nowMs = this.clock.getMonotonicMs();
    const buckets = this.buckets.get(service) ?? [];
    const last = buckets.at(-1);
    if (last !== undefined && nowMs - last.startMs < BUCKET_MS) {
      last[kind] += 1;
      return;
    }
    const bucket = { startMs: nowMs, answered: 0, failed: 0, refused: 0 };
    bucket[kind] += 1;
    const kept = buckets.filter(({ startMs }) => nowMs - startMs < KEEP_MS);
    this.buckets.set(service, [...kept, bucket]);
  }

  /** Sums the buckets that began within the time given, in milliseconds. */
  sumOutcomes(service: string, withinMs: number): OutcomeCounts {
    const sinceMs = this.clock.getMonotonicMs() - withinMs;
    const sum = { answered: 0, failed: 0, refused: 0 };
    for (const bucket of this.buckets.get(service) ?? []) {
      if (bucket.startMs >= sinceMs) {
        sum.answered += bucket.answered;
        sum.failed += bucket.failed;
        sum.refused += bucket.refused;
      }
    }
    return sum;
  }
}
