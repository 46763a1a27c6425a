/**
 * Choice of target by affinity: requests for one object go to the target that all entry VMs rank first for it, and
 * elsewhere only where that is expected to answer sooner.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type ColdAdmission from '@burdockcove/fleet/ColdAdmission';
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type WaitMetrics from '../admission/WaitMetrics.js';
import WaitingRoom from '../admission/WaitingRoom.js';
import type AttemptResult from '../AttemptResult.js';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import makeNotRun from '../makeNotRun.js';
import type TargetChooser from '../TargetChooser.js';
import CandidateRanker from './CandidateRanker.js';
import EvidenceBook from './EvidenceBook.js';
import type RankedTarget from './RankedTarget.js';
import type SentMark from './SentMark.js';

const STEP = 'choose a target';
/** Shortest wait that a refused caller is told, in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;
const SPREAD_RETRY_AFTER_MS = 400;
/** Share of a service's targets without room above which it counts as crowded; one full target is no crowd. */
const CROWDED_SHARE = 0.15;
/** Requests by which urgent ones may exceed a target's window. */
const URGENT_EXTRA = 1;

/** What the chooser needs to know of the fleet. */
interface AffinityChooserParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly catalogue: TargetCatalogue;
  readonly cold: ColdAdmission;
  /** Round trip to the target's region, in milliseconds. */
  readonly getRoundTripMs: (region: string) => number;
  readonly ownRegion: string;
  /** Entry VMs that share the slots of targets. */
  readonly countSharers: () => number;
  readonly metrics: WaitMetrics;
}

function isFull(choice: Either<RequestFailure, Choice>): boolean {
  return isLeft(choice) && choice.left._tag === 'NotRun' && choice.left.reason === 'region-full';
}

/** What finds no room waits briefly; what no target can take in time is refused at once. */
export default class AffinityChooser implements TargetChooser {
  private readonly book: EvidenceBook;

  private readonly ranker: CandidateRanker;

  private readonly room: WaitingRoom;

  private readonly lowestPriorities = new Map<string, number>();

  constructor(private readonly parts: AffinityChooserParts) {
    this.book = new EvidenceBook(parts.clock, parts.catalogue);
    this.ranker = new CandidateRanker(this.book, parts);
    this.room = new WaitingRoom({
      clock: parts.clock,
      metrics: parts.metrics,
      getLimit: (targetService) => this.countShareOfSlots(targetService),
      tryChoose: (request, mayLeave) => this.choose(request, mayLeave),
    });
  }

  chooseTarget(request: ChoiceRequest): Promise<Either<RequestFailure, Choice>> {
    const isRetry = request.tried.length > 0;
    const choice = this.choose(request, isRetry);
    if (!isFull(choice) || isRetry) {
      return Promise.resolve(choice);
    }
    return this.room.wait(request, choice);
  }

  /** This VM's part of the slots of a service. */
  private countShareOfSlots(targetService: string): number {
    const { catalogue, countSharers } = this.parts;
    const slots = catalogue
      .listUsable(targetService)
      .reduce((sum, { target }) => sum + target.slots, 0);
    return Math.ceil(slots / Math.max(1, countSharers()));
  }

  /** `mayLeave`: the object's own target may be left for another. */
  private choose(request: ChoiceRequest, mayLeave: boolean): Either<RequestFailure, Choice> {
    const ranked = this.ranker.rankByCost(request);
    if (ranked.length === 0) {
      return left(this.refuse('no-target', MIN_RETRY_AFTER_MS, 'no target may take the request'));
    }
    const limitMs = this.computeWaitLimitMs(request);
    const usualMs = this.book.getLatency(request).getMeanMs();
    const extra = this.isUrgent(request) ? URGENT_EXTRA : 0;
    const fitting = ranked.filter(
      (entry) =>
        entry.waitMs <= limitMs &&
        this.book.getEvidence(entry.known.target).hasRoom(usualMs, extra),
    );
    const full = ranked.length - fitting.length;
    const isCrowded = full > Math.max(1, CROWDED_SHARE * ranked.length);
    const mayTake = (entry: RankedTarget): boolean =>
      this.isLikelyWarm(entry) || (!isCrowded && (mayLeave || entry === ranked[0]));
    const picked = fitting.find((entry) => mayTake(entry) && this.mayAdmit(entry.known));
    if (picked === undefined) {
      const waitMs = Math.min(...ranked.map((entry) => entry.waitMs));
      const detail = 'every target that may take the request is busy';
      return left(this.refuse('region-full', waitMs + usualMs, detail));
    }
    return right(this.take(request, picked, ranked.indexOf(picked)));
  }

  /** Where many targets are full, only requests that cost little work may go beyond an object's own target. */
  private isLikelyWarm({ rank, isWarm, objectKey }: RankedTarget): boolean {
    return isWarm || rank === 0 || objectKey === undefined;
  }

  /** A wait beyond it is refused, so that the caller can come back when there is room. */
  private computeWaitLimitMs({ service, deadlineAtMs }: ChoiceRequest): number {
    const remainingMs = deadlineAtMs - this.parts.clock.getMonotonicMs();
    return Math.min(remainingMs / 2, service.targetLatencyMs ?? remainingMs);
  }

  /** Whether other requests to the same targets are less urgent. */
  private isUrgent({ service, plan }: ChoiceRequest): boolean {
    const priority = service.priority ?? 0;
    const lowest = Math.max(priority, this.lowestPriorities.get(plan.targetService) ?? 0);
    this.lowestPriorities.set(plan.targetService, lowest);
    return priority < lowest;
  }

  private mayAdmit(known: KnownTarget): boolean {
    const { cold } = this.parts;
    return !cold.isCold(known) || cold.tryAdmit(known);
  }

  private take(request: ChoiceRequest, ranked: RankedTarget, place: number): Choice {
    const { known, costMs, expectedMs } = ranked;
    const { target, region } = known;
    const evidence = this.book.getEvidence(target);
    const basis = {
      place,
      costMs: Math.round(costMs),
      ...evidence.describeLoad(),
      isCold: this.parts.cold.isCold(known),
    };
    const sent = evidence.recordSent(expectedMs);
    return {
      target,
      region,
      basis,
      permit: { target: target.name, release: () => undefined },
      reportResult: (result) => this.learn(request, ranked, sent, result),
    };
  }

  private learn(
    request: ChoiceRequest,
    { known, objectKey }: RankedTarget,
    sent: SentMark,
    result: AttemptResult,
  ): void {
    const { target } = known;
    const evidence = this.book.getEvidence(target);
    const latency = this.book.getLatency(request);
    const usualMs = latency.getMeanMs();
    if (result.ended === 'answered') {
      latency.record(result.latencyMs);
      if (objectKey !== undefined) {
        evidence.warm.record(objectKey);
      }
    }
    if (evidence.recordResult(sent, result, usualMs)) {
      this.parts.catalogue.markCold(target.name);
    }
  }

  private refuse(
    reason: 'no-target' | 'region-full',
    waitMs: number,
    detail: string,
  ): RequestFailure {
    const spreadMs = SPREAD_RETRY_AFTER_MS * this.parts.random.nextFloat();
    const retryAfterMs = Math.round(Math.max(MIN_RETRY_AFTER_MS, waitMs) + spreadMs);
    return { ...makeNotRun(reason, STEP, '', detail), retryAfterMs };
  }
}
