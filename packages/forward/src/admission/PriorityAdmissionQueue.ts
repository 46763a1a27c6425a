/**
 * Queue at the entry VM for requests for which no target had capacity, so that short bursts beyond the slots are served.
 *
 * Requests whose target latency can still be met go first, then the more urgent ones, then the older ones. Where work is
 * learned, the more urgent ones go first, so that they are not refused for less urgent ones. A request is refused when the queue is full or its wait gets too long, so that the caller can retry later or elsewhere.
 */
import { isRight, left, type Either } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import getPriority from '../getPriority.js';
import isCapacityRefusal from './isCapacityRefusal.js';
import selectEvicted from './selectEvicted.js';
import type WaitMetrics from './WaitMetrics.js';

const QUEUE_POLL_INTERVAL_MS = 40;
/** Limit on the entries tried per poll, so that a burst does not block the event loop. */
const MAX_ENTRIES_PER_POLL = 16;
/** Share of the time to the deadline that a request may spend in the queue. */
const WAIT_SHARE = 0.4;
/** Share of that wait during which a request accepts only its object's preferred target. */
const PREFERRED_ONLY_SHARE = 0.5;

type Outcome = Either<RequestFailure, Choice>;

interface QueueEntry {
  readonly request: ChoiceRequest;
  readonly enqueuedAtMs: number;
  readonly expiresAtMs: number;
  readonly refusal: Outcome;
  /** Least time from being sent until the response, in milliseconds. */
  readonly leastMs: number;
  settle(outcome: Outcome): void;
}

interface PriorityAdmissionQueueDependencies {
  readonly clock: Clock;
  readonly metrics: WaitMetrics;
  /** Returns the maximum number of queued requests for the target service. */
  readonly getLimit: (targetService: string) => number;
  /** Reserves a target, a non-preferred one only with `canUseOtherTargets`; else returns why none has capacity. */
  readonly tryChoose: (request: ChoiceRequest, canUseOtherTargets: boolean) => Outcome;
  /** Whether requests to the target service are served by priority first, and shared among Members; absent: no. */
  readonly isShared?: (targetService: string) => boolean;
  /** Returns the least time until the response to a request that is sent now, in milliseconds; absent: 0. */
  readonly estimateLeastMs?: (request: ChoiceRequest) => number;
}

function isWithinTargetLatency({ request, leastMs }: QueueEntry, nowMs: number): boolean {
  return (
    nowMs + leastMs - request.firstRequestedAtMs < (request.service.targetLatencyMs ?? Infinity)
  );
}

function appendWait(failure: RequestFailure, waitedMs: number): RequestFailure {
  return { ...failure, detail: `${failure.detail}; waited ${Math.round(waitedMs)} ms` };
}

/** Polls for capacity while requests are queued. */
export default class PriorityAdmissionQueue {
  private readonly entries = new Set<QueueEntry>();

  private timer: Timer | null = null;

  constructor(private readonly dependencies: PriorityAdmissionQueueDependencies) {
    dependencies.metrics.watchWaiting(() => this.entries.size);
  }

  /** Waits for capacity; resolves with `refusal` when the queue is full or the caller has disconnected. */
  wait(request: ChoiceRequest, refusal: Outcome): Promise<Outcome> {
    const { clock, getLimit } = this.dependencies;
    const { targetService } = request.plan;
    const isFull = this.countEntries(targetService) >= getLimit(targetService);
    if (request.signal.aborted || (isFull && !this.makeRoom(request))) {
      return Promise.resolve(refusal);
    }
    const enqueuedAtMs = clock.getMonotonicMs();
    const expiresAtMs = enqueuedAtMs + WAIT_SHARE * (request.deadlineAtMs - enqueuedAtMs);
    const leastMs = this.dependencies.estimateLeastMs?.(request) ?? 0;
    return new Promise((settle) => {
      this.entries.add({ request, enqueuedAtMs, expiresAtMs, refusal, leastMs, settle });
      this.startTimer();
    });
  }

  /** Refuses a waiting request that has to give way to the given one; returns false if none has to. */
  private makeRoom(request: ChoiceRequest): boolean {
    const { clock } = this.dependencies;
    const { targetService } = request.plan;
    if (!this.isShared(targetService)) {
      return false;
    }
    const entries = [...this.entries].filter(
      (entry) => entry.request.plan.targetService === targetService,
    );
    const entry = selectEvicted(
      entries.map((waiting) => waiting.request),
      request,
    );
    const evicted = entries.find((waiting) => waiting.request === entry);
    if (evicted === undefined) {
      return false;
    }
    const nowMs = clock.getMonotonicMs();
    this.settleEntry(evicted, evicted.refusal, nowMs - evicted.enqueuedAtMs);
    return true;
  }

  private isShared(targetService: string): boolean {
    return this.dependencies.isShared?.(targetService) ?? false;
  }

  /** Tries the first entries in order, and all expired ones. */
  private poll(): void {
    const nowMs = this.dependencies.clock.getMonotonicMs();
    [...this.entries]
      .sort((a, b) => this.compare(a, b, nowMs))
      .filter(({ expiresAtMs }, index) => index < MAX_ENTRIES_PER_POLL || nowMs >= expiresAtMs)
      .forEach((entry) => this.tryEntry(entry, nowMs));
  }

  private countEntries(targetService: string): number {
    return [...this.entries].filter(({ request }) => request.plan.targetService === targetService)
      .length;
  }

  private compare(a: QueueEntry, b: QueueEntry, nowMs: number): number {
    const [firstOfA, secondOfA] = this.rank(a, nowMs);
    const [firstOfB, secondOfB] = this.rank(b, nowMs);
    return firstOfA - firstOfB || secondOfA - secondOfB || a.enqueuedAtMs - b.enqueuedAtMs;
  }

  /** Returns what an entry is ordered by, the more important first; the entries with the least numbers come first. */
  private rank(entry: QueueEntry, nowMs: number): readonly [number, number] {
    const lateness = Number(!isWithinTargetLatency(entry, nowMs));
    const priority = getPriority(entry.request);
    return this.isShared(entry.request.plan.targetService)
      ? [priority, lateness]
      : [lateness, priority];
  }

  private tryEntry(entry: QueueEntry, nowMs: number): void {
    const { request, enqueuedAtMs, expiresAtMs } = entry;
    const canUseOtherTargets =
      nowMs - enqueuedAtMs >= (expiresAtMs - enqueuedAtMs) * PREFERRED_ONLY_SHARE;
    const outcome = request.signal.aborted
      ? entry.refusal
      : this.dependencies.tryChoose(request, canUseOtherTargets);
    const isSettled = isRight(outcome) || !isCapacityRefusal(outcome);
    if (isSettled || request.signal.aborted || nowMs >= expiresAtMs) {
      this.settleEntry(entry, outcome, nowMs - enqueuedAtMs);
    }
  }

  private settleEntry(entry: QueueEntry, outcome: Outcome, waitedMs: number): void {
    this.entries.delete(entry);
    this.dependencies.metrics.recordWait(waitedMs, isRight(outcome));
    entry.settle(isRight(outcome) ? outcome : left(appendWait(outcome.left, waitedMs)));
  }

  private startTimer(): void {
    this.timer ??= this.dependencies.clock.startTimer(QUEUE_POLL_INTERVAL_MS, () => {
      this.timer = null;
      this.poll();
      if (this.entries.size > 0) {
        this.startTimer();
      }
    });
  }
}
