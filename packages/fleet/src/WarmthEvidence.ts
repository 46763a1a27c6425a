/**
 * Evidence that targets are warm.
 *
 * A target's cold time is known from the store, as long as the store responds. A VM that the store does not reach, or
 * that has seen a sign of a restart, knows it from the target alone: a health check vouches for the next request or two.
 * So every VM sends few requests to a target that has become cold without its knowledge.
 */
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type Clock from '@burdockcove/runtime/Clock';
import type StateAge from './StateAge.js';

/** A watch responds within two seconds and is renewed within one; an older state may lack changes. */
const MAX_STATE_AGE_MS = 3500;
/** Age at which a health check no longer vouches for a request. */
const MAX_CHECK_AGE_MS = 1000;
const MAX_TRACKED_TARGETS = 4096;

/** Times are monotonic, in milliseconds. */
interface Evidence {
  /** When the last health check was sent that found the target warm. */
  readonly checkedAtMs: number;
  /** Requests that were sent since. */
  readonly sentSince: number;
  /** When the target last showed a sign of a restart. */
  readonly doubtedAtMs: number;
}

const NO_EVIDENCE: Evidence = { checkedAtMs: -Infinity, sentSince: 0, doubtedAtMs: -Infinity };

/** Keeps the evidence for the targets that were in doubt or checked last. */
export default class WarmthEvidence {
  private readonly evidence = new BoundedMap<string, Evidence>(MAX_TRACKED_TARGETS);

  constructor(
    private readonly clock: Clock,
    private readonly stateAge: StateAge,
  ) {}

  /** Whether the store vouches that what is known of the target's cold time is true now. */
  isConfirmedByState(name: string): boolean {
    return !this.isInDoubt(name) && this.stateAge.getAgeMs() <= MAX_STATE_AGE_MS;
  }

  /** Whether a health check vouches for one more request, which it does for as many as `unconfirmedLimit` says. */
  isConfirmedByCheck(name: string, unconfirmedLimit: number): boolean {
    const { checkedAtMs, sentSince } = this.get(name);
    const checkAgeMs = this.clock.getMonotonicMs() - checkedAtMs;
    return !this.isInDoubt(name) && sentSince < unconfirmedLimit && checkAgeMs <= MAX_CHECK_AGE_MS;
  }

  /** Whether the target has shown a sign of a restart that no health check has refuted. */
  isInDoubt(name: string): boolean {
    const { checkedAtMs, doubtedAtMs } = this.get(name);
    return doubtedAtMs > checkedAtMs;
  }

  /** Records a sign that the target may have restarted. */
  recordDoubt(name: string): void {
    this.set(name, { ...this.get(name), doubtedAtMs: this.clock.getMonotonicMs() });
  }

  /** Records a health check that found the target warm. */
  recordWarm(name: string, sentAtMs: number): void {
    const known = this.get(name);
    if (sentAtMs >= known.checkedAtMs) {
      this.set(name, { ...known, checkedAtMs: sentAtMs, sentSince: 0 });
    }
  }

  /** Records that a request is sent to the target now. */
  recordSent(name: string): void {
    const known = this.evidence.get(name);
    if (known !== undefined) {
      this.evidence.set(name, { ...known, sentSince: known.sentSince + 1 });
    }
  }

  /**
   * Clears the doubt after a response to a request that was sent at the given time; returns whether the target may have
   * restarted before it. A target that responds to an older request has not: a restart ends every request.
   */
  resolveDoubt(name: string, sentAtMs: number): boolean {
    const known = this.get(name);
    if (!this.isInDoubt(name)) {
      return false;
    }
    this.set(name, { ...known, doubtedAtMs: -Infinity });
    return sentAtMs >= known.doubtedAtMs;
  }

  private get(name: string): Evidence {
    return this.evidence.get(name) ?? NO_EVIDENCE;
  }

  private set(name: string, evidence: Evidence): void {
    this.evidence.set(name, evidence);
  }
}
