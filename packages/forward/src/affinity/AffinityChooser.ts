/**
 * Choice of target by affinity: requests for one object go to the target that all entry VMs rank first for it, and
 * elsewhere only where that is expected to answer sooner.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type ColdAdmission from '@burdockcove/fleet/ColdAdmission';
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type AttemptResult from '../AttemptResult.js';
import type Choice from '../Choice.js';
import type ChoiceRequest from '../ChoiceRequest.js';
import type TargetChooser from '../TargetChooser.js';
import type Candidate from './Candidate.js';
import computeCostMs from './computeCostMs.js';
import computeWaitMs from './computeWaitMs.js';
import computeWorkFactor from './computeWorkFactor.js';
import EvidenceBook from './EvidenceBook.js';
import rankTargets from './rankTargets.js';
import type SentMark from './SentMark.js';

const STEP = 'choose a target';
/** Shortest wait that a refused caller is told, in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;
const SPREAD_RETRY_AFTER_MS = 400;
const RANDOM_KEYS = 2 ** 30;
/** Share of a service's targets without room from which on it counts as crowded. */
const CROWDED_SHARE = 0.35;
/** How much more of the objects a target of the own region gets than one of another. */
const OWN_REGION_WEIGHT = 3;
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
}

interface Ranked {
  readonly known: KnownTarget;
  readonly rank: number;
  readonly isWarm: boolean;
  readonly costMs: number;
  readonly waitMs: number;
  /** Time of the work alone, at a target that is not slow. */
  readonly expectedMs: number;
}

/** Never waits: what no target can take in time is refused at once. */
export default class AffinityChooser implements TargetChooser {
  private readonly book: EvidenceBook;

  private readonly lowestPriorities = new Map<string, number>();

  constructor(private readonly parts: AffinityChooserParts) {
    this.book = new EvidenceBook(parts.clock, parts.catalogue);
  }

  chooseTarget(request: ChoiceRequest): Promise<Either<RequestFailure, Choice>> {
    return Promise.resolve(this.choose(request));
  }

  private choose(request: ChoiceRequest): Either<RequestFailure, Choice> {
    const candidates = this.listCandidates(request);
    if (candidates.length === 0) {
      return left(this.refuse('no-target', MIN_RETRY_AFTER_MS, 'no target may take the request'));
    }
    const ranked = this.rankByCost(request, candidates);
    const limitMs = this.computeWaitLimitMs(request);
    const usualMs = this.book.getLatency(request).getMeanMs();
    const extra = this.isUrgent(request) ? URGENT_EXTRA : 0;
    const fitting = ranked.filter(
      ({ known, waitMs }) =>
        waitMs <= limitMs && this.book.getEvidence(known.target).hasRoom(usualMs, extra),
    );
    const isCrowded = fitting.length < ranked.length * (1 - CROWDED_SHARE);
    const picked = fitting.find(
      (entry) => (!isCrowded || this.isLikelyWarm(entry)) && this.mayAdmit(entry.known),
    );
    if (picked === undefined) {
      const waitMs = Math.min(...ranked.map((entry) => entry.waitMs));
      const reason = fitting.length === 0 ? 'region-full' : 'no-target';
      return left(
        this.refuse(reason, waitMs + usualMs, 'every target that may take the request is busy'),
      );
    }
    return right(this.take(request, picked, ranked.indexOf(picked)));
  }

  private listCandidates({ plan, tried }: ChoiceRequest): readonly KnownTarget[] {
    const allowed = new Set(plan.regions.map(({ region }) => region));
    return this.parts.catalogue
      .listUsable(plan.targetService)
      .filter(({ target, region }) => allowed.has(region) && !tried.includes(target.name));
  }

  private rankByCost(request: ChoiceRequest, candidates: readonly KnownTarget[]): Ranked[] {
    const { random } = this.parts;
    const objectKey = this.buildObjectKey(request);
    const key = objectKey ?? String(random.nextInt(RANDOM_KEYS));
    const usualMs = this.book.getLatency(request).getMeanMs();
    const sound = candidates.filter(({ target }) => !this.book.getEvidence(target).isFailing());
    const ranked = rankTargets(key, sound, ({ target, region }) =>
      region === this.parts.ownRegion ? target.slots * OWN_REGION_WEIGHT : target.slots,
    );
    return ranked
      .map((known, rank) => this.rate(known, rank, usualMs, objectKey))
      .sort((a, b) => a.costMs - b.costMs);
  }

  /** Where many targets are full, only requests that cost little work may go beyond an object's own target. */
  private isLikelyWarm({ rank, isWarm }: Ranked): boolean {
    return isWarm || rank === 0;
  }

  private rate(
    known: KnownTarget,
    rank: number,
    usualMs: number,
    objectKey: string | undefined,
  ): Ranked {
    const evidence = this.book.getEvidence(known.target);
    const candidate: Candidate = {
      rank,
      isWarm: objectKey !== undefined && evidence.warm.has(objectKey),
      slots: known.target.slots,
      inFlight: evidence.estimateInFlight(),
      slowness: evidence.estimateSlowness(),
      roundTripMs: this.parts.getRoundTripMs(known.region),
    };
    const costMs = computeCostMs(candidate, usualMs);
    const { isWarm } = candidate;
    const expectedMs = usualMs * computeWorkFactor(candidate);
    const waitMs = computeWaitMs(candidate, usualMs);
    return { known, rank, isWarm, costMs, waitMs, expectedMs };
  }

  /** A wait beyond it is refused, so that the caller can come back when there is room. */
  private computeWaitLimitMs({ service, deadlineAtMs }: ChoiceRequest): number {
    const remainingMs = deadlineAtMs - this.parts.clock.getMonotonicMs();
    return Math.min(remainingMs / 2, service.targetLatencyMs ?? remainingMs);
  }

  /** Objects of different rules are different objects, whatever their keys. */
  private buildObjectKey({ affinityKey, service }: ChoiceRequest): string | undefined {
    return affinityKey === undefined ? undefined : `${service.name} ${affinityKey}`;
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

  private take(request: ChoiceRequest, ranked: Ranked, place: number): Choice {
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
    { known }: Ranked,
    sent: SentMark,
    result: AttemptResult,
  ): void {
    const { target } = known;
    const evidence = this.book.getEvidence(target);
    const latency = this.book.getLatency(request);
    const usualMs = latency.getMeanMs();
    const objectKey = this.buildObjectKey(request);
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
    return { _tag: 'NotRun', reason, step: STEP, peer: '', detail, retryAfterMs };
  }
}
