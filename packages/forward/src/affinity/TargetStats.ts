/**
 * What this VM has observed of one target: requests in flight, reported load, slowdown and failures.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type AttemptResult from '../AttemptResult.js';
import RecentLoad from '../cost/RecentLoad.js';
import ReportedPace from '../cost/ReportedPace.js';
import ServiceLoad from '../cost/ServiceLoad.js';
import sumRestMs from '../cost/sumRestMs.js';
import hasFreeSlots from '../hasFreeSlots.js';
import AdaptiveConcurrencyLimit from './AdaptiveConcurrencyLimit.js';
import type SentRequest from './SentRequest.js';
import WarmObjects from './WarmObjects.js';

/** Age at which a reported load no longer counts; its weight decreases linearly until then. */
const REPORT_DECAY_MS = 1500;
/** Age at which a recorded slowdown no longer counts; its weight decreases linearly until then. */
const SLOWDOWN_DECAY_MS = 6000;
/** Weight of a new sample in the moving average of the slowdown. */
const SLOWDOWN_SMOOTHING_FACTOR = 0.3;
/** A request in flight for this multiple of its expected duration is overdue. */
const OVERDUE_RATIO = 3;
const INITIAL_FAILURE_BACKOFF_MS = 250;
const MAX_FAILURE_BACKOFF_MS = 4000;
/** Time without any response after which a target may have restarted; a first visit to an object may take a second. */
const MIN_SILENCE_MS = 2000;
/** Time without requests to a target that shed one because it was full. */
const SHED_BACKOFF_MS = 150;
/** Limit on the requests per slot that a timeout shows; a request may be much heavier than expected. */
const MAX_TIMEOUT_LOAD = 3;
/** Time without requests to an address that answered for another target; the target is assumed to be gone. */
const MISDIRECTED_BACKOFF_MS = 5000;

/** Times are monotonic, in milliseconds. */
export default class TargetStats {
  private othersInFlight = 0;

  private reportedAtMs = -Infinity;

  /** Moving average of the actual latency divided by the expected duration. */
  private slowdown = 1;

  private slowdownRecordedAtMs = -Infinity;

  /** Requests in flight at the target, oldest first. */
  private readonly sent = new Set<SentRequest>();

  private consecutiveFailures = 0;

  /** When the first request after the last response was sent. */
  private unansweredSinceMs = Infinity;

  private shedBackoffUntilMs = -Infinity;

  private failureBackoffUntilMs = -Infinity;

  readonly warmObjects: WarmObjects;

  private readonly recentLoad = new RecentLoad();

  private readonly pace = new ReportedPace();

  /** Wall-clock time of the target's start; identifies the incarnation that the warm objects belong to. */
  private startedAtMs: number | null = null;

  private readonly limit: AdaptiveConcurrencyLimit;

  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
    private readonly serviceLoad: ServiceLoad = new ServiceLoad(),
  ) {
    this.limit = new AdaptiveConcurrencyLimit(slots);
    this.warmObjects = new WarmObjects(clock);
  }

  /** Number of this VM's requests in flight at the target. */
  get inFlight(): number {
    return this.sent.size;
  }

  /** Whether one more request may be sent now; `extraRequests` raises the concurrency limit for urgent requests. */
  hasCapacity(meanLatencyMs: number, extraRequests: number): boolean {
    const nowMs = this.clock.getMonotonicMs();
    return (
      nowMs >= this.shedBackoffUntilMs &&
      this.limit.hasCapacity(this.inFlight, meanLatencyMs, extraRequests, nowMs)
    );
  }

  /** Records that a request with the given expected duration and wait for a slot is sent to the target now. */
  recordSent(expectedDurationMs: number, expectedWaitMs = 0): SentRequest {
    const sentAtMs = this.clock.getMonotonicMs();
    const request = { sentAtMs, expectedDurationMs, expectedWaitMs };
    this.sent.add(request);
    this.unansweredSinceMs = Math.min(this.unansweredSinceMs, request.sentAtMs);
    this.limit.recordSent(request.sentAtMs);
    return request;
  }

  /** Returns the requests in flight at the target: this VM's own, and those of others by the last report. */
  estimateInFlight(): number {
    const ageMs = this.clock.getMonotonicMs() - this.reportedAtMs;
    return this.inFlight + this.othersInFlight * Math.max(0, 1 - ageMs / REPORT_DECAY_MS);
  }

  /**
   * Returns the requests of others at the target, for estimates from learned work. A target that has just started is not
   * assumed to be as loaded as the others of its service.
   */
  estimateOthersInFlight(hasJustStarted = false): number {
    const nowMs = this.clock.getMonotonicMs();
    const usual = hasJustStarted ? 0 : this.serviceLoad.estimate(nowMs) * this.slots;
    return this.recentLoad.estimate(nowMs, usual);
  }

  /** Returns the work that this VM's requests at the target still need, in milliseconds at its usual pace. */
  sumOwnRestMs(): number {
    return sumRestMs(this.sent, this.clock.getMonotonicMs());
  }

  /** Returns the time that work takes relative to the usual time: as reported, or as shown by an overdue request. */
  estimateWorkTimeRatio(): number {
    const nowMs = this.clock.getMonotonicMs();
    const isSilent = this.unansweredSinceMs < Infinity;
    const overdueRatio = isSilent ? this.estimateOverdueRatio(nowMs) : 1;
    return Math.max(this.pace.estimateRatio(nowMs), overdueRatio > 1 ? overdueRatio : 0);
  }

  /** Forgets the warm objects and reports if the target has restarted since the last call. */
  noteIncarnation(startedAtMs: number): void {
    if (this.startedAtMs !== null && this.startedAtMs !== startedAtMs) {
      this.warmObjects.clear();
      this.recentLoad.clear();
    }
    this.startedAtMs = startedAtMs;
  }

  /** Whether the incarnation of the target has recently handled the object for this VM; changes nothing. */
  isWarm(objectKey: string, startedAtMs: number): boolean {
    const isSame = this.startedAtMs === null || this.startedAtMs === startedAtMs;
    return isSame && this.warmObjects.has(objectKey);
  }

  /** Returns the estimated load, for logs. */
  describeLoad(): { readonly inFlight: number; readonly reportAgeMs?: number } {
    const ageMs = Math.round(this.clock.getMonotonicMs() - this.reportedAtMs);
    const inFlight = Math.round(this.estimateInFlight() * 10) / 10;
    return Number.isFinite(ageMs) ? { inFlight, reportAgeMs: ageMs } : { inFlight };
  }

  /** Whether the target gets no requests for now because it has shed one. */
  isInShedBackoff(): boolean {
    return this.clock.getMonotonicMs() < this.shedBackoffUntilMs;
  }

  /** Whether the target gets no requests for now because of failures. */
  isInFailureBackoff(): boolean {
    return this.clock.getMonotonicMs() < this.failureBackoffUntilMs;
  }

  /** Returns the latency relative to the expected one, 1 or more. */
  estimateSlowdown(): number {
    const nowMs = this.clock.getMonotonicMs();
    const weight = Math.max(0, 1 - (nowMs - this.slowdownRecordedAtMs) / SLOWDOWN_DECAY_MS);
    const recorded = 1 + weight * (this.slowdown - 1);
    return Math.max(1, recorded, this.estimateOverdueRatio(nowMs));
  }

  /** Whether the target has not responded for a long time although it got requests. */
  isSilent(): boolean {
    return this.clock.getMonotonicMs() - this.unansweredSinceMs >= MIN_SILENCE_MS;
  }

  /** Records the result of one exchange. */
  recordResult(sent: SentRequest, result: AttemptResult, meanLatencyMs: number): void {
    const nowMs = this.clock.getMonotonicMs();
    this.sent.delete(sent);
    this.recordLoad(result, meanLatencyMs, nowMs);
    switch (result.ended) {
      case 'answered':
        this.recordSlowdown(result.latencyMs / sent.expectedDurationMs, nowMs);
        this.consecutiveFailures = 0;
        this.unansweredSinceMs = Infinity;
        break;
      case 'shed':
        this.recordShed(result, meanLatencyMs, nowMs);
        this.unansweredSinceMs = Infinity;
        break;
      case 'misdirected':
        this.failureBackoffUntilMs = nowMs + MISDIRECTED_BACKOFF_MS;
        break;
      case 'unreachable':
      case 'broken':
        this.recordFailure(nowMs);
        break;
      case 'timed-out':
        this.recordSlowdown(result.latencyMs / sent.expectedDurationMs, nowMs);
        this.recordTimeout(result.latencyMs / sent.expectedDurationMs, nowMs);
        break;
      default:
    }
  }

  private recordLoad({ load }: AttemptResult, meanLatencyMs: number, nowMs: number): void {
    if (load !== undefined) {
      this.limit.recordReport(load.inFlight - load.slots, meanLatencyMs, nowMs);
      this.othersInFlight = Math.max(0, load.inFlight - this.inFlight);
      this.reportedAtMs = nowMs;
      this.recentLoad.record(this.othersInFlight, nowMs);
      this.serviceLoad.record(this.othersInFlight / Math.max(1, this.slots), nowMs);
      if (load.workTimeRatio !== undefined) {
        this.pace.record(load.workTimeRatio, nowMs);
      }
    }
  }

  /** Skips the backoff where the target reports free slots: it is not full, and its slots would stay unused. */
  private recordShed(result: AttemptResult, meanLatencyMs: number, nowMs: number): void {
    if (!hasFreeSlots(result)) {
      if (result.load === undefined) {
        this.recordFull(nowMs);
      }
      this.limit.recordShed(meanLatencyMs, nowMs);
      this.shedBackoffUntilMs = nowMs + SHED_BACKOFF_MS;
    }
  }

  /**
   * Records the load that a timeout shows; `ratio` is the time over the expected work. Full targets send few reports, so
   * that a service would look idle by the reports alone while most requests time out.
   */
  private recordTimeout(ratio: number, nowMs: number): void {
    if (ratio > 1) {
      const inFlight = this.slots * Math.min(MAX_TIMEOUT_LOAD, ratio);
      const others = Math.max(inFlight - this.inFlight, this.estimateOthersInFlight());
      this.recentLoad.record(others, nowMs);
      this.serviceLoad.record(others / Math.max(1, this.slots), nowMs);
    }
  }

  /** Records that all slots are in use, without a report of how many requests wait for one. */
  private recordFull(nowMs: number): void {
    const others = Math.max(this.slots - this.inFlight, this.estimateOthersInFlight());
    this.recentLoad.record(others, nowMs);
  }

  /** Returns the overdue ratio of the oldest request, which shows a slow target before any response does; else 1. */
  private estimateOverdueRatio(nowMs: number): number {
    const [oldest] = this.sent;
    if (oldest === undefined) {
      return 1;
    }
    const ratio = (nowMs - oldest.sentAtMs) / oldest.expectedDurationMs;
    return ratio >= OVERDUE_RATIO ? ratio : 1;
  }

  private recordSlowdown(ratio: number, nowMs: number): void {
    const isFresh = nowMs - this.slowdownRecordedAtMs < SLOWDOWN_DECAY_MS;
    const previous = isFresh ? this.slowdown : 1;
    this.slowdown = previous + SLOWDOWN_SMOOTHING_FACTOR * (ratio - previous);
    this.slowdownRecordedAtMs = nowMs;
  }

  private recordFailure(nowMs: number): void {
    this.consecutiveFailures += 1;
    const backoffMs = Math.min(
      MAX_FAILURE_BACKOFF_MS,
      INITIAL_FAILURE_BACKOFF_MS * 2 ** (this.consecutiveFailures - 1),
    );
    this.failureBackoffUntilMs = nowMs + backoffMs;
  }
}
