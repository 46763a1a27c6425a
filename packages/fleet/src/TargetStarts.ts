/**
 * Starts of targets: which of their incarnations this entry VM has known, and for how long they are cold.
 */
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type Clock from '@burdockcove/runtime/Clock';
import type TargetRecord from './TargetRecord.js';

const MAX_TRACKED_TARGETS = 4096;
/** The time of day may jump by seconds. */
const MAX_CLOCK_ERROR_MS = 15_000;

/** Keeps the starts of the targets that were reported last. */
export default class TargetStarts {
  /** Start of the latest incarnation of each target, also of those that are gone. */
  private readonly lastStarts = new BoundedMap<string, number>(MAX_TRACKED_TARGETS);

  /** Whether the targets of the store have been listed; a target that appears from then on is new. */
  private hasState = false;

  /** `getColdMs` returns how long a target of the service stays cold after its start, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly getColdMs: (service: string) => number,
  ) {}

  recordState(): void {
    this.hasState = true;
  }

  /** Returns the wall-clock time of the last known start of the target, if there is one. */
  getLastMs(name: string): number | undefined {
    return this.lastStarts.get(name);
  }

  /** Records a report; returns until when the target is cold, which was known until the given time before. */
  record(record: TargetRecord, knownColdUntilMs: number): number {
    const { name, service } = record.target;
    const isNew = this.lastStarts.get(name) !== record.startedAtMs;
    const coldSinceStartMs = isNew && this.mayHaveStarted(record) ? this.getColdMs(service) : 0;
    this.lastStarts.set(name, record.startedAtMs);
    return Math.max(
      isNew ? -Infinity : knownColdUntilMs,
      this.clock.getMonotonicMs() + Math.max(coldSinceStartMs, record.coldMs),
    );
  }

  /**
   * Whether a target that was not known before may have just started: it has appeared while the store is followed, and
   * the time of day does not say, by more than it may be off, that it is old. Its entry may have lapsed in an outage.
   */
  private mayHaveStarted({ startedAtMs, target }: TargetRecord): boolean {
    const ageMs = this.clock.getWallMs() - startedAtMs;
    return this.hasState && ageMs < this.getColdMs(target.service) + MAX_CLOCK_ERROR_MS;
  }
}
