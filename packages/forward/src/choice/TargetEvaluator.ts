/**
 * Evaluates which targets may receive a request, and why the others may not.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type Target from '@burdockcove/types/Target';
import type ChoiceRequest from '../ChoiceRequest.js';
import type LeavingTargets from '../health/LeavingTargets.js';
import type LoadSource from '../health/LoadSource.js';
import type TargetStateRegistry from '../health/TargetStateRegistry.js';
import type TargetState from '../health/TargetState.js';
import type RegionUtilization from './RegionUtilization.js';
import type RegionEvaluation from './RegionEvaluation.js';
import type RuledOutReason from './RuledOutReason.js';
import type TargetEvaluation from './TargetEvaluation.js';
import type EvaluationRecorder from './EvaluationRecorder.js';

/** If more than this share of a region's targets is unhealthy, ejection is ignored. */
const MAX_EJECTED_SHARE = 0.5;
/** If more than this share of a region's healthy targets is in slow start, slow start is ignored. */
const MAX_SLOW_START_SHARE = 0.5;

type Request = Pick<ChoiceRequest, 'semantics' | 'tried'>;

interface Candidate {
  readonly target: Target;
  readonly state: TargetState;
}

interface RegionContext {
  readonly nowMs: number;
  readonly request: Request;
  readonly ejectionIgnored: boolean;
  readonly slowStartIgnored: boolean;
}

/** Failures that this VM observed outweigh a target's report, unless they affect too many targets of the region. */
export default class TargetEvaluator {
  constructor(
    private readonly clock: Clock,
    private readonly targetStates: TargetStateRegistry,
    private readonly ledger: SlotLedger,
    private readonly leaving: LeavingTargets,
    private readonly loads: LoadSource,
    private readonly regionUtilization: RegionUtilization,
    private readonly recorder: EvaluationRecorder,
  ) {}

  /** Evaluates every target of the plan, in the plan's order of regions. */
  evaluatePlan(plan: RoutePlan, request: Request): readonly RegionEvaluation[] {
    return plan.regions.map((candidates) => this.evaluateRegion(candidates, request));
  }

  private evaluateRegion(candidates: RegionCandidates, request: Request): RegionEvaluation {
    const nowMs = this.clock.getMonotonicMs();
    const active = this.listActive(candidates);
    const context = this.computeContext(active, request, nowMs);
    const targets = candidates.targets.map((target) => this.evaluateTarget(target, context));
    const evaluation = {
      region: candidates.region,
      oneWayMs: candidates.oneWayMs,
      targets,
      ejectionIgnored: context.ejectionIgnored,
      utilization: this.regionUtilization.update(candidates, targets, nowMs),
    };
    this.recorder.record(evaluation);
    return evaluation;
  }

  private listActive(candidates: RegionCandidates): readonly Candidate[] {
    return candidates.targets
      .map((target) => ({ target, state: this.targetStates.getState(target) }))
      .filter(
        ({ target, state }) => !this.leaving.isLeaving(target) && !state.reportedLoad.isDraining(),
      );
  }

  private computeContext(
    active: readonly Candidate[],
    request: Request,
    nowMs: number,
  ): RegionContext {
    const unhealthy = active.filter(
      ({ state }) => state.outlierDetector.getCondition(nowMs) !== 'healthy',
    );
    const healthy = active.length - unhealthy.length;
    const slowStarting = active.filter(({ state }) => state.slowStart.getSlotShare(nowMs) < 1);
    return {
      nowMs,
      request,
      ejectionIgnored: unhealthy.length > active.length * MAX_EJECTED_SHARE,
      slowStartIgnored: slowStarting.length > healthy * MAX_SLOW_START_SHARE,
    };
  }

  private evaluateTarget(target: Target, context: RegionContext): TargetEvaluation {
    const state = this.targetStates.getState(target);
    const free = this.ledger.countFree(target.name);
    if (free > 0 || state.inFlight > 0) {
      this.loads.watchTarget(target, state);
    }
    const condition = state.outlierDetector.getCondition(context.nowMs);
    return {
      target,
      state,
      free,
      ruledOut: this.findRuledOutReason(target, state, free, context),
      lastResort:
        condition === 'sick' ||
        state.reportedLoad.isUnresponsive() ||
        context.request.tried.includes(target.name),
    };
  }

  private findRuledOutReason(
    target: Target,
    state: TargetState,
    free: number,
    context: RegionContext,
  ): RuledOutReason | null {
    const condition = state.outlierDetector.getCondition(context.nowMs);
    if (this.leaving.isLeaving(target)) {
      return 'leaving';
    }
    if (state.reportedLoad.isDraining()) {
      return 'draining';
    }
    if (condition === 'sick' && !context.ejectionIgnored) {
      return 'ejected';
    }
    if (free <= 0) {
      return 'no-slot';
    }
    if (!this.loads.isInitialPollDone(target)) {
      return 'unasked';
    }
    if (condition !== 'healthy' && !this.canSendTrial(state, context)) {
      return 'on-trial';
    }
    return this.findThrottleReason(state, free, context);
  }

  private findThrottleReason(
    state: TargetState,
    free: number,
    context: RegionContext,
  ): RuledOutReason | null {
    if (state.shedBackoff.isBackingOff(context.nowMs)) {
      return 'shed-lately';
    }
    const slots = free + state.inFlight;
    const isThrottled = !state.slowStart.canSend(context.nowMs, state.inFlight, slots);
    return isThrottled && !context.slowStartIgnored ? 'slow-start' : null;
  }

  /**
   * Whether a trial request may go to the target. Only one at a time; an at-most-once request only if the target has
   * reported itself healthy since it was ejected, or if ejection is ignored.
   */
  private canSendTrial(state: TargetState, context: RegionContext): boolean {
    if (state.inFlight > 0) {
      return false;
    }
    const hasRecovered =
      state.reportedLoad.getHealthyAtMs() > state.outlierDetector.getEjectedAtMs();
    return context.request.semantics === 'repeatable' || hasRecovered || context.ejectionIgnored;
  }
}
