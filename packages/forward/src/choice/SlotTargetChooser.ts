/**
 * Chooses a target for each attempt, subject to limits and a bounded queue.
 */
import { left, type Either } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type NotRunReason from '@burdockcove/types/NotRunReason';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import QueuedRequest from '../admission/QueuedRequest.js';
import SlotDemand from '../admission/SlotDemand.js';
import type Waiter from '../admission/Waiter.js';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type TargetChooser from '../TargetChooser.js';
import buildGroupKey from './buildGroupKey.js';
import type ChoiceDescription from './ChoiceDescription.js';
import type ChoiceMetrics from './ChoiceMetrics.js';
import describeRegion from './describeRegion.js';
import makeNotRun from '../makeNotRun.js';
import type QueueDispatcher from './QueueDispatcher.js';
import ServiceState from './ServiceState.js';
import type TargetEvaluator from './TargetEvaluator.js';

/** Queued requests are retried at this interval, for changes without a notification: bandwidth, trials, expired backoffs. */
const QUEUE_POLL_INTERVAL_MS = 5;

/** Answers at once if a slot is free; otherwise keeps the request in the queue of its service. */
export default class SlotTargetChooser implements TargetChooser {
  private readonly services = new Map<string, ServiceState>();

  private readonly demand: SlotDemand;

  private pollTimer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    ledger: SlotLedger,
    private readonly evaluator: TargetEvaluator,
    private readonly dispatcher: QueueDispatcher,
    private readonly metrics: ChoiceMetrics,
  ) {
    this.demand = new SlotDemand(ledger);
    ledger.subscribe(() => this.dispatchAll());
  }

  async chooseTarget(request: ChoiceRequest): Promise<Either<RequestFailure, Choice>> {
    const state = this.getState(request.service.name);
    const queued = new QueuedRequest(this.clock, request, buildGroupKey(request));
    if (request.signal.aborted || request.deadlineAtMs <= queued.enqueuedAtMs) {
      this.refuse(queued, 'deadline', 'no time left on arrival');
    } else if (state.queue.getRequestCount() >= request.service.maxRequestsPerVm) {
      this.refuseOverLimit(state, queued, 'service-limit');
    }
    if (!queued.isSettled()) {
      this.enqueue(state, queued);
    }
    return queued.result;
  }

  /** Returns the current reasons for and against each target of the plan, for `/explain`. */
  describeChoice(service: Service, plan: RoutePlan): ChoiceDescription {
    const nowMs = this.clock.getMonotonicMs();
    const state = this.getState(service.name);
    const regions = this.evaluator.evaluatePlan(plan, { semantics: 'repeatable', tried: [] });
    return {
      service: service.name,
      objective: service.objective,
      waiting: state.queue.getLength(),
      queueLate: state.queue.isNewestFirst(nowMs),
      needMs: state.estimateRequestDurationMs(nowMs),
      regions: regions.map((region) => describeRegion(region, nowMs)),
    };
  }

  private enqueue(state: ServiceState, queued: QueuedRequest): void {
    state.queue.add(queued);
    this.dispatch(state);
    if (!queued.isSettled() && state.queue.getLength() > queued.request.service.maxQueuePerVm) {
      this.refuseOverLimit(state, queued, 'queue-full');
    }
    if (!queued.isSettled()) {
      this.startWaiting(state, queued);
    }
  }

  private startWaiting(state: ServiceState, queued: QueuedRequest): void {
    this.demand.add(queued);
    this.setQueueLength(state, queued);
    this.startQueuePolling();
    queued.startWaiting(
      state.estimateRequestDurationMs(this.clock.getMonotonicMs()),
      () =>
        this.removeAndRefuse(
          state,
          queued,
          'deadline',
          'not enough time left for a target to answer',
        ),
      () => this.removeAbandoned(state, queued),
    );
  }

  /** Refuses the newest request of the Member with the most requests, or this one if no Member has more requests. */
  private refuseOverLimit(state: ServiceState, queued: QueuedRequest, reason: NotRunReason): void {
    const { member } = queued.request;
    const candidate = state.queue.findEvictionCandidate(member);
    if (candidate !== undefined) {
      this.removeAndRefuse(
        state,
        candidate,
        'member-limit',
        'made room for a Member with fewer requests',
      );
      return;
    }
    const cause = state.queue.hasOtherMembers(member) ? 'member-limit' : reason;
    this.removeAndRefuse(state, queued, cause, 'this entry VM has as many requests as it may');
  }

  private removeAndRefuse(
    state: ServiceState,
    waiter: Waiter,
    reason: NotRunReason,
    detail: string,
  ): void {
    this.removeWaiter(state, waiter);
    this.refuse(waiter, reason, detail);
  }

  /** Removes a request whose caller disconnected. Not counted as a refusal, since no caller receives it. */
  private removeAbandoned(state: ServiceState, queued: QueuedRequest): void {
    const { name } = queued.request.service;
    this.removeWaiter(state, queued);
    queued.settle(left(makeNotRun('deadline', 'admission', name, 'the caller went away')));
  }

  private refuse(waiter: Waiter, reason: NotRunReason, detail: string): void {
    const { name } = waiter.request.service;
    this.metrics.refusals.inc({ service: name, reason });
    waiter.settle(left(makeNotRun(reason, 'admission', name, detail)));
  }

  private removeWaiter(state: ServiceState, waiter: Waiter): void {
    if (state.queue.remove(waiter)) {
      this.demand.remove(waiter);
      this.setQueueLength(state, waiter);
    }
  }

  private setQueueLength(state: ServiceState, { request }: Waiter): void {
    this.metrics.queueLength.set({ service: request.service.name }, state.queue.getLength());
  }

  private dispatch(state: ServiceState): void {
    this.dispatcher.dispatchWaiting(state, (waiter) => this.removeWaiter(state, waiter));
  }

  private dispatchAll(): void {
    this.services.forEach((state) => {
      if (state.queue.getLength() > 0) {
        this.dispatch(state);
      }
    });
  }

  private startQueuePolling(): void {
    this.pollTimer ??= this.clock.startTimer(QUEUE_POLL_INTERVAL_MS, () => {
      this.pollTimer = null;
      this.dispatchAll();
      if ([...this.services.values()].some(({ queue }) => queue.getLength() > 0)) {
        this.startQueuePolling();
      }
    });
  }

  private getState(service: string): ServiceState {
    const state = this.services.get(service) ?? new ServiceState();
    this.services.set(service, state);
    return state;
  }
}
