/**
 * Judgement of targets: which may get a request, and which not and why.
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
import type RegionUse from './RegionUse.js';
import type RegionVerdict from './RegionVerdict.js';
import type RuledOutReason from './RuledOutReason.js';
import type TargetVerdict from './TargetVerdict.js';
import type VerdictLog from './VerdictLog.js';

/** At most this share of a region's targets is ejected; where more look sick, ejection is ignored. */
const MAX_EJECTED_SHARE = 0.5;
/** Slow start is ignored where more than this share of a region's healthy targets would be held back. */
const MAX_WARMING_SHARE = 0.5;

type Request = Pick<ChoiceRequest, 'semantics' | 'tried'>;

interface Candidate {
  readonly target: Target;
  readonly state: TargetState;
}

interface RegionFacts {
  readonly nowMs: number;
  readonly request: Request;
  readonly ejectionIgnored: boolean;
  readonly warmingIgnored: boolean;
}

/** Own evidence outranks a report; too much evidence against too many targets is not believed. */
export default class TargetJudge {
  constructor(
    private readonly clock: Clock,
    private readonly book: TargetStateRegistry,
    private readonly ledger: SlotLedger,
    private readonly leaving: LeavingTargets,
    private readonly loads: LoadSource,
    private readonly regionUse: RegionUse,
    private readonly log: VerdictLog,
  ) {}

  /** Judges every target of the plan, in the plan's order of regions. */
  judgePlan(plan: RoutePlan, request: Request): readonly RegionVerdict[] {
    return plan.regions.map((candidates) => this.judgeRegion(candidates, request));
  }

  private judgeRegion(candidates: RegionCandidates, request: Request): RegionVerdict {
    const nowMs = this.clock.getMonotonicMs();
    const staying = this.listStaying(candidates);
    const facts = this.gatherFacts(staying, request, nowMs);
    const targets = candidates.targets.map((target) => this.judgeTarget(target, facts));
    const verdict = {
      region: candidates.region,
      oneWayMs: candidates.oneWayMs,
      targets,
      ejectionIgnored: facts.ejectionIgnored,
      use: this.regionUse.update(candidates, targets, nowMs),
    };
    this.log.record(verdict);
    return verdict;
  }

  private listStaying(candidates: RegionCandidates): readonly Candidate[] {
    return candidates.targets
      .map((target) => ({ target, state: this.book.getState(target) }))
      .filter(
        ({ target, state }) => !this.leaving.isLeaving(target) && !state.reportedLoad.isDraining(),
      );
  }

  private gatherFacts(staying: readonly Candidate[], request: Request, nowMs: number): RegionFacts {
    const sick = staying.filter(
      ({ state }) => state.outlierDetector.getCondition(nowMs) !== 'healthy',
    );
    const healthy = staying.length - sick.length;
    const warming = staying.filter(({ state }) => state.slowStart.getSlotShare(nowMs) < 1);
    return {
      nowMs,
      request,
      ejectionIgnored: sick.length > staying.length * MAX_EJECTED_SHARE,
      warmingIgnored: warming.length > healthy * MAX_WARMING_SHARE,
    };
  }

  private judgeTarget(target: Target, facts: RegionFacts): TargetVerdict {
    const state = this.book.getState(target);
    const free = this.ledger.countFree(target.name);
    if (free > 0 || state.inFlight > 0) {
      this.loads.watchTarget(target, state);
    }
    const condition = state.outlierDetector.getCondition(facts.nowMs);
    return {
      target,
      state,
      free,
      ruledOut: this.findReason(target, state, free, facts),
      lastResort:
        condition === 'sick' ||
        state.reportedLoad.isUnresponsive() ||
        facts.request.tried.includes(target.name),
    };
  }

  private findReason(
    target: Target,
    state: TargetState,
    free: number,
    facts: RegionFacts,
  ): RuledOutReason | null {
    const condition = state.outlierDetector.getCondition(facts.nowMs);
    if (this.leaving.isLeaving(target)) {
      return 'leaving';
    }
    if (state.reportedLoad.isDraining()) {
      return 'draining';
    }
    if (condition === 'sick' && !facts.ejectionIgnored) {
      return 'ejected';
    }
    if (free <= 0) {
      return 'no-slot';
    }
    if (!this.loads.isInitialPollDone(target)) {
      return 'unasked';
    }
    if (condition !== 'healthy' && !this.mayTry(state, facts)) {
      return 'on-trial';
    }
    return this.findPauseReason(state, free, facts);
  }

  private findPauseReason(
    state: TargetState,
    free: number,
    facts: RegionFacts,
  ): RuledOutReason | null {
    if (state.shedBackoff.isBackingOff(facts.nowMs)) {
      return 'shed-lately';
    }
    const slots = free + state.inFlight;
    const isHeld = !state.slowStart.canSend(facts.nowMs, state.inFlight, slots);
    return isHeld && !facts.warmingIgnored ? 'slow-start' : null;
  }

  /** One request at a time; one that must not run twice only where the target says it is healthy again. */
  private mayTry(state: TargetState, facts: RegionFacts): boolean {
    if (state.inFlight > 0) {
      return false;
    }
    const hasRecovered =
      state.reportedLoad.getHealthyAtMs() > state.outlierDetector.getEjectedAtMs();
    return facts.request.semantics === 'repeatable' || hasRecovered || facts.ejectionIgnored;
  }
}
