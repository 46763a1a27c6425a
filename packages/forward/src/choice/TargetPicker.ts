/**
 * The choice of a region and of a target in it, by what is known at this moment.
 */
import { isNone, isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type LinkBudget from '@burdockcove/types/LinkBudget';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type ChoiceRequest from '../ChoiceRequest.js';
import HeadroomOrder from './HeadroomOrder.js';
import HeadroomScore from './HeadroomScore.js';
import LatencyOrder from './LatencyOrder.js';
import LatencyScore from './LatencyScore.js';
import type PickedTarget from './PickedTarget.js';
import type RegionVerdict from './RegionVerdict.js';
import type TargetVerdict from './TargetVerdict.js';
import estimateWaitMs from './estimateWaitMs.js';
import listUsable from './listUsable.js';

/** Targets compared at each choice. */
const CHOICES = 2;

/** Takes the slot and the bandwidth of what it picks. */
export default class TargetPicker {
  private readonly orders;

  private readonly scores = { headroom: new HeadroomScore(), latency: new LatencyScore() };

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly ledger: SlotLedger,
    private readonly link: LinkBudget,
    private readonly selfRegion: string,
  ) {
    this.orders = { headroom: new HeadroomOrder(random), latency: new LatencyOrder() };
  }

  /** None where no usable target has a free slot; `waiting` requests are ahead, each taking `latencyMs`. */
  pickTarget(
    request: ChoiceRequest,
    regions: readonly RegionVerdict[],
    waiting: number,
    latencyMs: number,
  ): Option<PickedTarget> {
    const remainingMs = request.deadlineAtMs - this.clock.getMonotonicMs();
    const reachable = regions.filter((region) => 2 * region.oneWayMs < remainingMs);
    const waitMs = estimateWaitMs(reachable[0], waiting, latencyMs);
    const ordered = this.orders[request.service.objective].orderRegions(reachable, waitMs);
    const usable = listUsable(ordered, request.tried);
    for (const { region, targets } of usable) {
      const picked = this.takeFrom(request, region, targets);
      if (isSome(picked)) {
        return picked;
      }
    }
    return none;
  }

  private takeFrom(
    request: ChoiceRequest,
    region: string,
    targets: readonly TargetVerdict[],
  ): Option<PickedTarget> {
    const { service } = request;
    const reservedBytes = region === this.selfRegion ? 0 : service.expectedAnswerBytes;
    if (!this.link.reserveBytes(region, this.selfRegion, reservedBytes)) {
      return none;
    }
    const verdict = this.chooseOne(request, targets);
    const permit = this.ledger.takeSlot(verdict.target.name);
    if (isNone(permit)) {
      this.link.settleBytes(region, this.selfRegion, reservedBytes, 0);
      return none;
    }
    return some({ verdict, region, permit: permit.value, reservedBytes });
  }

  private chooseOne(request: ChoiceRequest, targets: readonly TargetVerdict[]): TargetVerdict {
    const compared = this.drawTargets(targets);
    const nowMs = this.clock.getMonotonicMs();
    const latencies = compared.map(({ state }) => state.latency.estimateQuantile(nowMs, 0.5));
    const known = latencies.filter(isSome).map(({ value }) => value);
    // A target without samples is taken for as fast as the one it is compared with.
    const usualMs = known.length === 0 ? 0 : Math.min(...known);
    const score = this.scores[request.service.objective];
    const scores = compared.map(({ target, state }, index) => {
      const latency = latencies[index];
      const latencyMs = latency !== undefined && isSome(latency) ? latency.value : usualMs;
      return score.computeScore(latencyMs, state.estimateLoad(nowMs, target.slots));
    });
    return compared[scores.indexOf(Math.min(...scores))] as TargetVerdict;
  }

  /** Draws without returning, so that the targets compared differ. */
  private drawTargets(targets: readonly TargetVerdict[]): readonly TargetVerdict[] {
    const left = [...targets];
    const drawn: TargetVerdict[] = [];
    while (drawn.length < CHOICES && left.length > 0) {
      drawn.push(...left.splice(this.random.nextInt(left.length), 1));
    }
    return drawn;
  }
}
