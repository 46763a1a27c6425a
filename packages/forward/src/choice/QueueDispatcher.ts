/**
 * Sends queued requests to targets as slots become free.
 */
import { left, right } from 'fp-ts/lib/Either.js';
import { isNone } from 'fp-ts/lib/Option.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type LinkBudget from '@burdockcove/types/LinkBudget';
import type Target from '@burdockcove/types/Target';
import type Waiter from '../admission/Waiter.js';
import type AttemptResult from '../AttemptResult.js';
import type ChoiceMetrics from './ChoiceMetrics.js';
import hasOnlyLeavingTargets from './hasOnlyLeavingTargets.js';
import makeNotRun from '../makeNotRun.js';
import type PickedTarget from './PickedTarget.js';
import type ServiceState from './ServiceState.js';
import SlotChoice from './SlotChoice.js';
import type SpreadSlotRequester from './SpreadSlotRequester.js';
import type TargetEvaluator from './TargetEvaluator.js';
import type TargetPicker from './TargetPicker.js';

const MS_PER_SECOND = 1_000;

/** Dispatches requests in fair order until no queued request finds a slot. */
export default class QueueDispatcher {
  constructor(
    private readonly clock: Clock,
    private readonly link: LinkBudget,
    private readonly evaluator: TargetEvaluator,
    private readonly picker: TargetPicker,
    private readonly slotRequester: SpreadSlotRequester,
    private readonly metrics: ChoiceMetrics,
    private readonly logger: Logger,
    private readonly selfRegion: string,
  ) {}

  /** Dispatches what it can. `onSettle` is called with each waiter just before the waiter is settled. */
  dispatchWaiting(state: ServiceState, onSettle: (waiter: Waiter) => void): void {
    state.runExclusively(() => this.dispatchOnce(state, onSettle));
  }

  private dispatchOnce(state: ServiceState, onSettle: (waiter: Waiter) => void): void {
    const blocked = new Set<string>();
    const nowMs = this.clock.getMonotonicMs();
    let waiter = state.queue.findNext(blocked, nowMs);
    while (waiter !== undefined) {
      if (!this.tryDispatch(state, waiter, 0, onSettle)) {
        blocked.add(waiter.groupKey);
      }
      waiter = state.queue.findNext(blocked, nowMs);
    }
    this.dispatchNewest(state, onSettle);
  }

  /**
   * Dispatches the newest requests to farther regions while the wait behind all requests ahead of them would outweigh the
   * longer way there.
   */
  private dispatchNewest(state: ServiceState, onSettle: (waiter: Waiter) => void): void {
    let newest = state.queue.findNewest();
    while (newest !== undefined && newest.request.plan.regions.length > 1) {
      if (!this.tryDispatch(state, newest, state.queue.getLength() - 1, onSettle)) {
        return;
      }
      newest = state.queue.findNewest();
    }
  }

  /** Returns whether the waiter was settled. `aheadCount` is the number of requests to be served before it. */
  private tryDispatch(
    state: ServiceState,
    waiter: Waiter,
    aheadCount: number,
    onSettle: (waiter: Waiter) => void,
  ): boolean {
    const { request } = waiter;
    const nowMs = this.clock.getMonotonicMs();
    const regions = this.evaluator.evaluatePlan(request.plan, request);
    if (hasOnlyLeavingTargets(regions)) {
      onSettle(waiter);
      const { name } = request.service;
      this.metrics.refusals.inc({ service: name, reason: 'no-target' });
      waiter.settle(left(makeNotRun('no-target', 'choice', name, 'no target takes new work')));
      return true;
    }
    this.slotRequester.update(request.service, regions);
    const picked = this.picker.pickTarget(
      request,
      regions,
      aheadCount,
      state.estimateRequestDurationMs(nowMs),
    );
    if (isNone(picked)) {
      return false;
    }
    onSettle(waiter);
    waiter.settle(right(this.openChoice(state, waiter, picked.value, onSettle)));
    return true;
  }

  private openChoice(
    state: ServiceState,
    { request, enqueuedAtMs }: Waiter,
    picked: PickedTarget,
    onSettle: (waiter: Waiter) => void,
  ): SlotChoice {
    const { region, evaluation } = picked;
    const service = request.service.name;
    const waitedMs = this.clock.getMonotonicMs() - enqueuedAtMs;
    evaluation.state.inFlight += 1;
    state.queue.adjustInFlight(request.member, 1);
    this.metrics.recordChoice(service, region, evaluation.lastResort, waitedMs / MS_PER_SECOND);
    return new SlotChoice(picked, (result) => {
      state.queue.adjustInFlight(request.member, -1);
      this.recordResult(state, picked, result);
      this.dispatchWaiting(state, onSettle);
    });
  }

  private recordResult(state: ServiceState, picked: PickedTarget, result: AttemptResult): void {
    const { region, evaluation, reservedBytes } = picked;
    const { target } = evaluation;
    const nowMs = this.clock.getMonotonicMs();
    evaluation.state.inFlight -= 1;
    this.metrics.recordEnd(target.service, region);
    const slots = evaluation.state.inFlight + evaluation.free;
    const change = evaluation.state.recordResult(nowMs, result, Math.max(1, slots));
    if (change !== 'none') {
      this.recordConditionChange(target, change, result);
    }
    if (result.ended === 'answered') {
      state.latency.record(nowMs, result.latencyMs);
    }
    const usedBytes = result.receivedBytes ?? reservedBytes;
    if (reservedBytes > 0) {
      this.link.settleBytes(region, this.selfRegion, reservedBytes, usedBytes);
    }
  }

  private recordConditionChange(target: Target, change: string, result: AttemptResult): void {
    const cause = result.ended === 'answered' ? 'error-answers' : result.ended;
    const fields = { step: 'choice', peer: target.address, target: target.name };
    if (change === 'ejected') {
      this.metrics.ejections.inc({ service: target.service, target: target.name, cause });
      this.logger.warn('target ejected', { ...fields, cause });
    } else {
      this.logger.info('target recovered', fields);
    }
  }
}
