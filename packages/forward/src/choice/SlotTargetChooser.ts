/**
 * The choice of a target for each attempt, with limits and a bounded queue before it.
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
import type QueueServer from './QueueServer.js';
import ServiceState from './ServiceState.js';
import type TargetJudge from './TargetJudge.js';

/** Waiting requests are looked at this often, for what no listener tells of: bandwidth, trials, pauses that end. */
const LOOK_AGAIN_MS = 5;

/** Serves at once where a slot is free, else keeps the request in its service's queue. */
export default class SlotTargetChooser implements TargetChooser {
  private readonly services = new Map<string, ServiceState>();

  private readonly demand: SlotDemand;

  private lookAgain: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    ledger: SlotLedger,
    private readonly judge: TargetJudge,
    private readonly server: QueueServer,
    private readonly metrics: ChoiceMetrics,
  ) {
    this.demand = new SlotDemand(ledger);
    ledger.subscribe(() => this.serveAll());
  }

  async chooseTarget(request: ChoiceRequest): Promise<Either<RequestFailure, Choice>> {
    const state = this.getState(request.service.name);
    const queued = new QueuedRequest(this.clock, request, buildGroupKey(request));
    if (request.signal.aborted || request.deadlineAtMs <= queued.enqueuedAtMs) {
      this.refuse(queued, 'deadline', 'no time left on arrival');
    } else if (state.queue.getRequestCount() >= request.service.maxRequestsPerVm) {
      this.makeRoom(state, queued, 'service-limit');
    }
    if (!queued.isSettled()) {
      this.enqueue(state, queued);
    }
    return queued.result;
  }

  /** The reasons for and against each target of the plan at this moment, for `/explain`. */
  describeChoice(service: Service, plan: RoutePlan): ChoiceDescription {
    const nowMs = this.clock.getMonotonicMs();
    const state = this.getState(service.name);
    const regions = this.judge.judgePlan(plan, { semantics: 'repeatable', tried: [] });
    return {
      service: service.name,
      objective: service.objective,
      waiting: state.queue.getLength(),
      queueLate: state.queue.isNewestFirst(nowMs),
      needMs: state.estimateNeedMs(nowMs),
      regions: regions.map((region) => describeRegion(region, nowMs)),
    };
  }

  private enqueue(state: ServiceState, queued: QueuedRequest): void {
    state.queue.add(queued);
    this.serve(state);
    if (!queued.isSettled() && state.queue.getLength() > queued.request.service.maxQueuePerVm) {
      this.makeRoom(state, queued, 'queue-full');
    }
    if (!queued.isSettled()) {
      this.startWaiting(state, queued);
    }
  }

  private startWaiting(state: ServiceState, queued: QueuedRequest): void {
    this.demand.add(queued);
    this.setQueueLength(state, queued);
    this.startLookAgain();
    queued.startWaiting(
      state.estimateNeedMs(this.clock.getMonotonicMs()),
      () => this.drop(state, queued, 'deadline', 'not enough time left for a target to answer'),
      () => this.forget(state, queued),
    );
  }

  /** Refuses the newest request of the Member with the most requests, or this one where no Member has more. */
  private makeRoom(state: ServiceState, queued: QueuedRequest, reason: NotRunReason): void {
    const { member } = queued.request;
    const victim = state.queue.findEvictionCandidate(member);
    if (victim !== undefined) {
      this.drop(state, victim, 'member-limit', 'made room for a Member with fewer requests');
      return;
    }
    const cause = state.queue.hasOtherMembers(member) ? 'member-limit' : reason;
    this.drop(state, queued, cause, 'this entry VM has as many requests as it may');
  }

  private drop(state: ServiceState, waiter: Waiter, reason: NotRunReason, detail: string): void {
    this.removeWaiter(state, waiter);
    this.refuse(waiter, reason, detail);
  }

  /** No refusal is counted: nobody waits for it. */
  private forget(state: ServiceState, queued: QueuedRequest): void {
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

  private serve(state: ServiceState): void {
    this.server.serveWaiting(state, (waiter) => this.removeWaiter(state, waiter));
  }

  private serveAll(): void {
    this.services.forEach((state) => {
      if (state.queue.getLength() > 0) {
        this.serve(state);
      }
    });
  }

  private startLookAgain(): void {
    this.lookAgain ??= this.clock.startTimer(LOOK_AGAIN_MS, () => {
      this.lookAgain = null;
      this.serveAll();
      if ([...this.services.values()].some(({ queue }) => queue.getLength() > 0)) {
        this.startLookAgain();
      }
    });
  }

  private getState(service: string): ServiceState {
    const state = this.services.get(service) ?? new ServiceState();
    this.services.set(service, state);
    return state;
  }
}
