/**
 * Whether a request may be sent again, by what has become of its attempts.
 */
import hasFreeSlots from '../hasFreeSlots.js';
import type RetryBudget from '../RetryBudget.js';
import type CallerRequest from './CallerRequest.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type RequestBody from './RequestBody.js';

const DEFAULT_MAX_ATTEMPTS = 3;
/** Limit on targets to which nothing could be sent, which do not count as attempts. */
const MAX_UNSENT = 3;
/** Limit on retries after targets shed the request. */
const MAX_SHEDS = 3;

type Failed = Exclude<ExchangeEnd, { _tag: 'Answered' }>;

/** Created for each request. */
export default class RetryRules {
  private readonly triedNames: string[] = [];

  private unsent = 0;

  /** Attempts that a target may have run. */
  private delivered = 0;

  private sheds = 0;

  constructor(
    private readonly budget: Pick<RetryBudget, 'tryAcquireRetry'>,
    private readonly request: CallerRequest,
    private readonly body: RequestBody,
  ) {}

  /** Names of the targets that are not chosen again; grows with each attempt. */
  get tried(): readonly string[] {
    return this.triedNames;
  }

  recordStart(targetName: string): void {
    this.triedNames.push(targetName);
    this.delivered += 1;
  }

  /** Records that the target shed the request: it has not run it, so the attempt is not counted as delivered. */
  recordShed(targetName: string, end: Extract<Failed, { _tag: 'Shed' }>): void {
    this.delivered -= 1;
    this.sheds += 1;
    if (!end.isMisdirected && hasFreeSlots(end)) {
      // The target is not full, so it may be chosen again.
      this.triedNames.splice(this.triedNames.lastIndexOf(targetName), 1);
    }
  }

  /** Whether the request may run more than once and can be sent more than once. */
  isRepeatable(): boolean {
    return this.request.semantics === 'repeatable' && this.body._tag !== 'Streamed';
  }

  /** Returns true for an at-most-once request only if no target can have run it. */
  canRetry(end: Failed): boolean {
    if (end._tag === 'NotSent') {
      const isNeverSent = end.cause === 'unreachable' || end.cause === 'target-unavailable';
      return isNeverSent && this.canRetryUnsent();
    }
    if (end._tag === 'InDoubt' && (end.cause !== 'broken' || end.headSent)) {
      return false;
    }
    if (end._tag === 'InDoubt' && !this.isRepeatable()) {
      return false;
    }
    const isBodyLost = this.body._tag === 'Streamed' && end._tag === 'Shed';
    return !isBodyLost && this.acquireRetry();
  }

  /** Takes one retry from the budget; returns false if none is left, or the request may not be sent again. */
  acquireRetry(): boolean {
    const { service, plan, caller } = this.request;
    const maxAttempts = service.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    if (this.delivered >= maxAttempts || this.sheds > MAX_SHEDS || caller.isDisconnected()) {
      return false;
    }
    return this.budget.tryAcquireRetry(service, plan.targetService);
  }

  /** Nothing was delivered, so the retry is not charged to the retry budget. */
  private canRetryUnsent(): boolean {
    this.unsent += 1;
    this.delivered -= 1;
    return this.unsent <= MAX_UNSENT && !this.request.caller.isDisconnected();
  }
}
