/**
 * Picks a region and a target in it by their current evaluation.
 */
import { isNone, isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type LinkBudget from '@burdockcove/types/LinkBudget';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type ChoiceRequest from '../ChoiceRequest.js';
import HeadroomOrder from './HeadroomOrder.js';
import HeadroomScorer from './HeadroomScorer.js';
import LatencyOrder from './LatencyOrder.js';
import LatencyScorer from './LatencyScorer.js';
import type PickedTarget from './PickedTarget.js';
import type RegionEvaluation from './RegionEvaluation.js';
import type TargetEvaluation from './TargetEvaluation.js';
import estimateWaitMs from './estimateWaitMs.js';
import listUsableGroups from './listUsableGroups.js';

/** Number of targets drawn at random and compared for each choice. */
const SAMPLE_SIZE = 2;

/** Also takes the slot and reserves the link bandwidth of the target that it picks. */
export default class TargetPicker {
  private readonly orders;

  private readonly scorers = { headroom: new HeadroomScorer(), latency: new LatencyScorer() };

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly ledger: SlotLedger,
    private readonly link: LinkBudget,
    private readonly selfRegion: string,
  ) {
    this.orders = { headroom: new HeadroomOrder(random), latency: new LatencyOrder() };
  }

  /**
   * Returns none if no usable target has a free slot. `waiting` is the number of requests ahead of this one, and
   * `latencyMs` the expected duration of each.
   */
  pickTarget(
    request: ChoiceRequest,
    regions: readonly RegionEvaluation[],
    waiting: number,
    latencyMs: number,
  ): Option<PickedTarget> {
    const remainingMs = request.deadlineAtMs - this.clock.getMonotonicMs();
    const reachable = regions.filter((region) => 2 * region.oneWayMs < remainingMs);
    const waitMs = estimateWaitMs(reachable[0], waiting, latencyMs);
    const ordered = this.orders[request.service.objective].orderRegions(reachable, waitMs);
    const groups = listUsableGroups(ordered, request.tried);
    for (const { region, targets } of groups) {
      const picked = this.pickFromRegion(request, region, targets);
      if (isSome(picked)) {
        return picked;
      }
    }
    return none;
  }

  private pickFromRegion(
    request: ChoiceRequest,
    region: string,
    targets: readonly TargetEvaluation[],
  ): Option<PickedTarget> {
    const { service } = request;
    const reservedBytes = region === this.selfRegion ? 0 : service.expectedAnswerBytes;
    if (!this.link.reserveBytes(region, this.selfRegion, reservedBytes)) {
      return none;
    }
    const evaluation = this.selectBest(request, targets);
    const permit = this.ledger.takeSlot(evaluation.target.name);
    if (isNone(permit)) {
      this.link.settleBytes(region, this.selfRegion, reservedBytes, 0);
      return none;
    }
    return some({ evaluation, region, permit: permit.value, reservedBytes });
  }

  private selectBest(
    request: ChoiceRequest,
    targets: readonly TargetEvaluation[],
  ): TargetEvaluation {
    const sampled = this.sampleTargets(targets);
    const nowMs = this.clock.getMonotonicMs();
    const latencies = sampled.map(({ state }) => state.latency.estimateQuantile(nowMs, 0.5));
    const knownMs = latencies.filter(isSome).map(({ value }) => value);
    // A target without latency samples counts as fast as the one it is compared with.
    const defaultMs = knownMs.length === 0 ? 0 : Math.min(...knownMs);
    const scorer = this.scorers[request.service.objective];
    const scores = sampled.map(({ target, state }, index) => {
      const latency = latencies[index];
      const latencyMs = latency !== undefined && isSome(latency) ? latency.value : defaultMs;
      return scorer.computeScore(latencyMs, state.estimateLoad(nowMs, target.slots));
    });
    return sampled[scores.indexOf(Math.min(...scores))] as TargetEvaluation;
  }

  /** Samples without replacement, so that the compared targets differ. */
  private sampleTargets(targets: readonly TargetEvaluation[]): readonly TargetEvaluation[] {
    const remaining = [...targets];
    const sampled: TargetEvaluation[] = [];
    while (sampled.length < SAMPLE_SIZE && remaining.length > 0) {
      sampled.push(...remaining.splice(this.random.nextInt(remaining.length), 1));
    }
    return sampled;
  }
}
