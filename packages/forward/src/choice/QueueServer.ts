/**
 * Serving of waiting requests, as slots become free.
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
import hasLastingReasons from './hasLastingReasons.js';
import makeNotRun from '../makeNotRun.js';
import type PickedTarget from './PickedTarget.js';
import type ServiceState from './ServiceState.js';
import SlotChoice from './SlotChoice.js';
import type SpreadDemand from './SpreadDemand.js';
import type TargetJudge from './TargetJudge.js';
import type TargetPicker from './TargetPicker.js';

const MS_PER_SECOND = 1_000;

/** Serves in fair order, until no waiting request finds a slot. */
export default class QueueServer {
  constructor(
    private readonly clock: Clock,
    private readonly link: LinkBudget,
    private readonly judge: TargetJudge,
    private readonly picker: TargetPicker,
    private readonly spread: SpreadDemand,
    private readonly metrics: ChoiceMetrics,
    private readonly logger: Logger,
    private readonly selfRegion: string,
  ) {}

  /** `onServed` is told of each waiter that was answered, before its answer. */
  serveWaiting(state: ServiceState, onServed: (waiter: Waiter) => void): void {
    state.runServing(() => this.serveOnce(state, onServed));
  }

  private serveOnce(state: ServiceState, onServed: (waiter: Waiter) => void): void {
    const blocked = new Set<string>();
    const nowMs = this.clock.getMonotonicMs();
    let waiter = state.queue.findNext(blocked, nowMs);
    while (waiter !== undefined) {
      if (!this.serveWaiter(state, waiter, 0, onServed)) {
        blocked.add(waiter.groupKey);
      }
      waiter = state.queue.findNext(blocked, nowMs);
    }
    this.serveNewest(state, onServed);
  }

  /** Sends the newest farther away while all those ahead of it would make it wait for longer than the way takes. */
  private serveNewest(state: ServiceState, onServed: (waiter: Waiter) => void): void {
    let newest = state.queue.findNewest();
    while (newest !== undefined && newest.request.plan.regions.length > 1) {
      if (!this.serveWaiter(state, newest, state.queue.getLength() - 1, onServed)) {
        return;
      }
      newest = state.queue.findNewest();
    }
  }

  /** Returns whether the waiter was answered; `ahead` others are to be served before it. */
  private serveWaiter(
    state: ServiceState,
    waiter: Waiter,
    ahead: number,
    onServed: (waiter: Waiter) => void,
  ): boolean {
    const { request } = waiter;
    const nowMs = this.clock.getMonotonicMs();
    const regions = this.judge.judgePlan(request.plan, request);
    if (hasLastingReasons(regions)) {
      onServed(waiter);
      const { name } = request.service;
      this.metrics.refusals.inc({ service: name, reason: 'no-target' });
      waiter.settle(left(makeNotRun('no-target', 'choice', name, 'no target takes new work')));
      return true;
    }
    this.spread.update(request.service, regions);
    const picked = this.picker.pickTarget(request, regions, ahead, state.estimateNeedMs(nowMs));
    if (isNone(picked)) {
      return false;
    }
    onServed(waiter);
    waiter.settle(right(this.openChoice(state, waiter, picked.value, onServed)));
    return true;
  }

  private openChoice(
    state: ServiceState,
    { request, enqueuedAtMs }: Waiter,
    picked: PickedTarget,
    onServed: (waiter: Waiter) => void,
  ): SlotChoice {
    const { region, verdict } = picked;
    const service = request.service.name;
    const waitedMs = this.clock.getMonotonicMs() - enqueuedAtMs;
    verdict.state.inFlight += 1;
    state.queue.adjustInFlight(request.member, 1);
    this.metrics.recordChoice(service, region, verdict.lastResort, waitedMs / MS_PER_SECOND);
    return new SlotChoice(picked, (result) => {
      state.queue.adjustInFlight(request.member, -1);
      this.recordResult(state, picked, result);
      this.serveWaiting(state, onServed);
    });
  }

  private recordResult(state: ServiceState, picked: PickedTarget, result: AttemptResult): void {
    const { region, verdict, reservedBytes } = picked;
    const { target } = verdict;
    const nowMs = this.clock.getMonotonicMs();
    verdict.state.inFlight -= 1;
    this.metrics.recordEnd(target.service, region);
    const slots = verdict.state.inFlight + verdict.free;
    const change = verdict.state.recordResult(nowMs, result, Math.max(1, slots));
    if (change !== 'none') {
      this.noteChange(target, change, result);
    }
    if (result.ended === 'answered') {
      state.latency.record(nowMs, result.latencyMs);
    }
    const usedBytes = result.receivedBytes ?? reservedBytes;
    if (reservedBytes > 0) {
      this.link.settleBytes(region, this.selfRegion, reservedBytes, usedBytes);
    }
  }

  private noteChange(target: Target, change: string, result: AttemptResult): void {
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
