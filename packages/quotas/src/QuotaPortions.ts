/**
 * The portions of one customer's quota at this VM, and how much more to ask for.
 *
 * What is not used within a portion's lifetime is lost to the customer. A VM therefore asks for what it expects to need
 * in a part of the lifetime only, the horizon, which shrinks whenever an owner grants less than was wanted.
 */
import type QuotaPermit from '@burdockcove/forward/admission/QuotaPermit';
import type Clock from '@burdockcove/runtime/Clock';
import type AskedAt from './AskedAt.js';
import DemandEstimator from './DemandEstimator.js';
import PartHolds from './PartHolds.js';
import Portion from './Portion.js';
import PortionPermit from './PortionPermit.js';
import type PortionAnswer from './PortionAnswer.js';
import type QuotaCounts from './QuotaCounts.js';
import type RequestedPortion from './RequestedPortion.js';
import type WaitingRequest from './WaitingRequest.js';

/** Time before the end of a portion at which the next one is asked for: a round trip between regions and some more. */
const LEAD_MS = 100;
/** Requests in that time from which on a VM asks ahead. */
const STEADY_REQUESTS = 0.8;
/** Largest share of the lifetime for which requests are asked ahead. */
const MAX_HORIZON_SHARE = 0.8;
/** In milliseconds. */
const FIRST_HORIZON_MS = 200;
const HORIZON_DECREASE = 0.5;
const HORIZON_INCREASE_MS = 20;
/** Time after two denials in which nothing is asked for beyond what is expected. */
const NEAR_LIMIT_MS = 5000;
/** Standard deviations of the expected requests that a portion allows for where customers share calls. */
const ALONG_DEVIATIONS = 1;
const MS_PER_SECOND = 1000;
/** Limit on one portion, which bounds what a wrong estimate can take. */
const MAX_WANTED = 1000;

type GrantedPortion = Extract<PortionAnswer, { _tag: 'Granted' }>;

/** Times are in milliseconds. */
export default class QuotaPortions {
  readonly holds = new PartHolds();

  /** In order of arrival. */
  readonly waiting = new Set<WaitingRequest>();

  /** Number of the quota's parts by the configuration of the last request. */
  parts = 1;

  private portions: readonly Portion[] = [];

  private readonly demand = new DemandEstimator();

  private deniedAtMs = -Infinity;

  /** Time of the denial before the last one. */
  private deniedBeforeMs = -Infinity;

  private horizonMs = FIRST_HORIZON_MS;

  constructor(
    readonly customer: string,
    private readonly counts: QuotaCounts,
    private readonly clock: Clock,
  ) {}

  recordArrival(): void {
    this.demand.recordArrival(this.clock.getMonotonicMs());
  }

  /** Takes one request from the oldest valid portion. */
  take(): QuotaPermit | undefined {
    this.discardVoid();
    const portion = this.portions.find(({ left }) => left > 0);
    if (portion === undefined) {
      return undefined;
    }
    portion.left -= 1;
    return new PortionPermit(portion);
  }

  /** Returns the number of requests to ask for now, or 0 if there is no need. */
  computeWanted(): number {
    const ratePerS = this.getRatePerS();
    const ahead = Math.round((ratePerS * this.horizonMs) / MS_PER_SECOND);
    if (this.waiting.size > 0) {
      const wanted = this.parts > 1 ? this.computeWantedAlong() : ahead;
      return Math.min(MAX_WANTED, this.waiting.size + wanted);
    }
    const neededInLead = (ratePerS * LEAD_MS) / MS_PER_SECOND;
    const isSteady = neededInLead >= STEADY_REQUESTS;
    return isSteady && this.countLasting() <= neededInLead ? Math.min(MAX_WANTED, ahead) : 0;
  }

  /**
   * Returns the number of requests to ask for in a call that is made for another customer, or 0 if there is no need. Of
   * what is at hand, only the part counts that the rate will use before it is void, so that calls for several customers
   * fall together.
   */
  computeWantedAlong(): number {
    const expected = this.getRatePerS() * (this.horizonMs / MS_PER_SECOND);
    // Near the quota, what is asked for and not used is missing elsewhere.
    const isNearLimit = this.clock.getMonotonicMs() < this.deniedBeforeMs + NEAR_LIMIT_MS;
    const needed = expected + (isNearLimit ? 0 : ALONG_DEVIATIONS * Math.sqrt(expected));
    return Math.min(MAX_WANTED, Math.max(0, Math.round(needed - this.countUsable())));
  }

  /** Returns how many of the granted requests will be used, by the rate. */
  private countUsable(): number {
    const ratePerS = this.getRatePerS();
    return this.portions.reduce((sum, portion) => {
      const remainingMs = Math.max(0, portion.getRemainingMs(this.clock));
      return sum + Math.min(portion.left, (ratePerS * remainingMs) / MS_PER_SECOND);
    }, 0);
  }

  /** Returns the customer's requests a second at this VM. */
  getRatePerS(): number {
    return this.demand.getRatePerS(this.clock.getMonotonicMs());
  }

  /** Adds what the owner of a part granted. */
  addPortion(
    { part, wanted }: RequestedPortion,
    { count, validMs, waitMs }: GrantedPortion,
    askedAt: AskedAt,
  ): void {
    this.counts.granted += count;
    if (count > 0) {
      this.portions = [...this.portions, new Portion(count, askedAt, validMs)];
    }
    if (count < wanted) {
      this.counts.denied += 1;
      this.deniedBeforeMs = this.deniedAtMs;
      this.deniedAtMs = this.clock.getMonotonicMs();
      this.holds.recordDenied(part, waitMs, this.clock.getMonotonicMs());
      this.horizonMs *= HORIZON_DECREASE;
    } else {
      this.holds.recordGranted(part);
      this.horizonMs = Math.min(validMs * MAX_HORIZON_SHARE, this.horizonMs + HORIZON_INCREASE_MS);
    }
  }

  /** Returns the requests that are granted beyond the next `LEAD_MS`. */
  private countLasting(): number {
    return this.portions
      .filter((portion) => portion.getRemainingMs(this.clock) > LEAD_MS)
      .reduce((sum, { left }) => sum + left, 0);
  }

  /** A later portion may end first, since a change of the quota changes the lifetime. */
  private discardVoid(): void {
    const ended = this.portions.filter((portion) => portion.getRemainingMs(this.clock) <= 0);
    if (ended.length > 0) {
      this.counts.void += ended.reduce((sum, { left }) => sum + left, 0);
      this.portions = this.portions.filter((portion) => !ended.includes(portion));
    }
  }
}
