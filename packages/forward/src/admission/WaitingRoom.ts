/**
 * Load past the slots for a short time: requests that find no room wait briefly for it at the entry VM.
 *
 * Those that can still be answered in time go first, then the more urgent, then the older. A full room and a long wait
 * are refused, so that callers can come back or go elsewhere.
 */
import { isRight, left, type Either } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type WaitMetrics from './WaitMetrics.js';

/** Time between two looks for room, in milliseconds. */
const LOOK_INTERVAL_MS = 40;
/** Requests that one look tries to serve, so that a burst does not take the processor. */
const GUESTS_A_LOOK = 16;
/** Share of the remaining time that may be spent waiting. */
const WAIT_SHARE = 0.4;
/** Share of the wait in which only the object's own target will do. */
const STAY_SHARE = 0.5;

type Outcome = Either<RequestFailure, Choice>;

interface Guest {
  readonly request: ChoiceRequest;
  readonly sinceMs: number;
  readonly untilMs: number;
  readonly refusal: Outcome;
  settle(outcome: Outcome): void;
}

/** What the room needs of its surroundings. */
interface WaitingRoomParts {
  readonly clock: Clock;
  readonly metrics: WaitMetrics;
  /** Requests for the service that may wait here at once. */
  readonly getLimit: (targetService: string) => number;
  /** Takes a target for the request, with `mayLeave` any other than the object's own; or says why none has room. */
  readonly tryChoose: (request: ChoiceRequest, mayLeave: boolean) => Outcome;
}

function isInTime({ request }: Guest, nowMs: number): boolean {
  return nowMs - request.firstRequestedAtMs < (request.service.targetLatencyMs ?? Infinity);
}

function describeWait(failure: RequestFailure, waitedMs: number): RequestFailure {
  return { ...failure, detail: `${failure.detail}; waited ${Math.round(waitedMs)} ms` };
}

/** Whoever has waited for the given share of the remaining time is refused. */
export default class WaitingRoom {
  private readonly guests = new Set<Guest>();

  private timer: Timer | null = null;

  constructor(private readonly parts: WaitingRoomParts) {
    parts.metrics.watchWaiting(() => this.guests.size);
  }

  /** Waits for room; `refusal` is the answer where the room is full. */
  wait(request: ChoiceRequest, refusal: Outcome): Promise<Outcome> {
    const { clock, getLimit } = this.parts;
    const { targetService } = request.plan;
    if (this.countGuests(targetService) >= getLimit(targetService) || request.signal.aborted) {
      return Promise.resolve(refusal);
    }
    const sinceMs = clock.getMonotonicMs();
    const untilMs = sinceMs + WAIT_SHARE * (request.deadlineAtMs - sinceMs);
    return new Promise((settle) => {
      this.guests.add({ request, sinceMs, untilMs, refusal, settle });
      this.startTimer();
    });
  }

  /** Serves those who find room now. */
  private serve(): void {
    const nowMs = this.parts.clock.getMonotonicMs();
    [...this.guests]
      .sort((a, b) => this.compare(a, b, nowMs))
      .filter(({ untilMs }, place) => place < GUESTS_A_LOOK || nowMs >= untilMs)
      .forEach((guest) => this.serveGuest(guest, nowMs));
  }

  private countGuests(targetService: string): number {
    return [...this.guests].filter(({ request }) => request.plan.targetService === targetService)
      .length;
  }

  private compare(a: Guest, b: Guest, nowMs: number): number {
    const byTime = Number(isInTime(b, nowMs)) - Number(isInTime(a, nowMs));
    const byPriority = (a.request.service.priority ?? 0) - (b.request.service.priority ?? 0);
    return byTime || byPriority || a.sinceMs - b.sinceMs;
  }

  private serveGuest(guest: Guest, nowMs: number): void {
    const { request, sinceMs, untilMs } = guest;
    const mayLeave = nowMs - sinceMs >= (untilMs - sinceMs) * STAY_SHARE;
    const outcome = request.signal.aborted
      ? guest.refusal
      : this.parts.tryChoose(request, mayLeave);
    if (isRight(outcome) || request.signal.aborted || nowMs >= untilMs) {
      this.end(guest, outcome, nowMs - sinceMs);
    }
  }

  private end(guest: Guest, outcome: Outcome, waitedMs: number): void {
    this.guests.delete(guest);
    this.parts.metrics.recordWait(waitedMs, isRight(outcome));
    guest.settle(isRight(outcome) ? outcome : left(describeWait(outcome.left, waitedMs)));
  }

  private startTimer(): void {
    this.timer ??= this.parts.clock.startTimer(LOOK_INTERVAL_MS, () => {
      this.timer = null;
      this.serve();
      if (this.guests.size > 0) {
        this.startTimer();
      }
    });
  }
}
