/**
 * The way of one request: choice, attempt, and another one where that is safe.
 */
import type { ServerResponse } from 'node:http';
import { isLeft, right, type Either } from 'fp-ts/lib/Either.js';
import waitFor from '@burdockcove/runtime/waitFor';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type ChoiceBasis from '../ChoiceBasis.js';
import type ForwardMetrics from '../ForwardMetrics.js';
import type CallerRequest from './CallerRequest.js';
import ChoiceWish from './ChoiceWish.js';
import cutAnswer from './cutAnswer.js';
import describeEnd from './describeEnd.js';
import describeResult from './describeResult.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type ForwarderParts from './ForwarderParts.js';
import type RequestBody from './RequestBody.js';
import sendProblem from './sendProblem.js';
import type SilenceAdvisor from './SilenceAdvisor.js';

const DEFAULT_MAX_ATTEMPTS = 3;
/** Targets that may turn out unreachable beside the attempts that arrived. */
const MAX_UNREACHABLE = 3;
const FIRST_BACKOFF_MS = 10;

/** Least time between two looks for a target that could take over from a silent one. */
const PREPARE_INTERVAL_MS = 200;

/** One attempt, for the request's log line. */
interface AttemptRecord {
  readonly target: string;
  readonly address: string;
  readonly ended: string;
  readonly status: number;
  readonly latencyMs: number;
  readonly basis: ChoiceBasis | undefined;
}

function describeFailure({ step, peer, detail }: RequestFailure): Record<string, string> {
  return { step, peer, detail };
}

type Failed = Exclude<ExchangeEnd, { _tag: 'Answered' }>;

/** Answers its request exactly once, or cuts the caller's connection. */
export default class ForwardTask implements SilenceAdvisor {
  private readonly tried: string[] = [];

  private unreachable = 0;

  private readonly attempts: AttemptRecord[] = [];

  private readonly wish: ChoiceWish;

  /** Where a silent attempt's request goes next. */
  private prepared: Choice | null = null;

  private isPreparing = false;

  private isAttemptOpen = false;

  private prepareAgainMs = -Infinity;


  /** The first doubt stays: once a target may have run the request, it may have run it. */
  private doubt: RequestFailure | null = null;

  private hasPaidRetry = false;

  constructor(
    private readonly parts: ForwarderParts,
    private readonly request: CallerRequest,
    private readonly body: RequestBody,
    private readonly response: ServerResponse,
  ) {
    this.wish = new ChoiceWish(request, this.tried);
  }

  /** Resolves once the answer, a problem, or nothing more can be sent. */
  async run(): Promise<void> {
    for (;;) {
      const choice = await this.takeChoice();
      if (isLeft(choice)) {
        this.answerFailure(this.doubt ?? choice.left);
        return;
      }
      const end = await this.startAttempt(choice.right);
      this.recordEnd(choice.right, end);
      if (end._tag === 'Answered') {
        this.recordOutcome('answered');
        return;
      }
      const failure = describeEnd(end, choice.right.target.address);
      if (failure._tag === 'Unknown') {
        this.doubt ??= failure;
      }
      if (!this.mayRetry(end) || !(await this.waitBackoff())) {
        this.answerEnd(end, this.doubt ?? failure);
        return;
      }
    }
  }

  /**
   * A repeatable request leaves a silent connection once another target is ready to take it and the budget allows
   * another attempt: silence alone is no reason to give up an answer that may still come.
   */
  mayGiveUp(): boolean {
    if (this.prepared === null && !this.isPreparing && this.isRepeatable()) {
      this.prepareChoice().catch((error: unknown) => {
        this.parts.logger.error('choice failed', { step: 'prepare', error: String(error) });
      });
    }
    return this.prepared !== null;
  }

  private async prepareChoice(): Promise<void> {
    const { clock, chooser } = this.parts;
    if (clock.getMonotonicMs() < this.prepareAgainMs || this.countArrived() >= this.getMaxAttempts()) {
      return;
    }
    this.isPreparing = true;
    const choice = await chooser.chooseTarget(this.wish);
    this.isPreparing = false;
    this.prepareAgainMs = clock.getMonotonicMs() + PREPARE_INTERVAL_MS;
    if (isLeft(choice)) {
      return;
    }
    if (this.isAttemptOpen && this.takeRetry()) {
      this.prepared = choice.right;
      this.hasPaidRetry = true;
    } else {
      this.releaseChoice(choice.right);
    }
  }

  private async takeChoice(): Promise<Either<RequestFailure, Choice>> {
    const { prepared } = this;
    this.prepared = null;
    return prepared === null ? this.parts.chooser.chooseTarget(this.wish) : right(prepared);
  }

  /** Gives a choice back that no attempt was made with. */
  private releaseChoice(choice: Choice): void {
    choice.permit.release();
    choice.reportResult({ ended: 'cancelled', status: 0, latencyMs: 0 });
  }

  private startAttempt({ target }: Choice): Promise<ExchangeEnd> {
    this.tried.push(target.name);
    this.hasPaidRetry = false;
    this.isAttemptOpen = true;
    return this.parts.runner.runAttempt(this.request, this.body, target, this.response, this);
  }

  private recordEnd(choice: Choice, end: ExchangeEnd): void {
    const { permits, metrics } = this.parts;
    this.isAttemptOpen = false;
    if (this.prepared !== null && !(end._tag === 'InDoubt' && end.cause === 'silent')) {
      this.releaseChoice(this.prepared);
      this.prepared = null;
      this.hasPaidRetry = false;
    }
    const { service, deadlineAtMs } = this.request;
    const ended = describeResult(end);
    permits.settlePermit(choice.permit, end._tag !== 'InDoubt', deadlineAtMs);
    const { latencyMs, receivedBytes } = end;
    const status = 'status' in end ? end.status : 0;
    choice.reportResult({ ended, status, latencyMs, receivedBytes, load: end.load });
    metrics.recordAttempt(service.name, ended);
    this.attempts.push({
      target: choice.target.name,
      address: choice.target.address,
      ended,
      status,
      latencyMs: Math.round(latencyMs),
      basis: choice.basis,
    });
  }

  /** An at-most-once request goes elsewhere only if no target can have run it. */
  private mayRetry(end: Failed): boolean {
    if (this.hasPaidRetry && end._tag === 'InDoubt' && end.cause === 'silent') {
      return true;
    }
    if (end._tag !== 'Shed' && end.cause !== 'broken' && end.cause !== 'unreachable') {
      return false;
    }
    if (end._tag === 'InDoubt' && (end.headSent || !this.isRepeatable())) {
      return false;
    }
    if (end._tag === 'NotSent') {
      // Nothing arrived anywhere, so that another target costs the budget nothing.
      this.unreachable += 1;
      return this.unreachable <= MAX_UNREACHABLE && !this.request.caller.isGone();
    }
    const isBodyLost = this.body._tag === 'Streamed' && end._tag === 'Shed';
    return !isBodyLost && this.takeRetry();
  }

  private isRepeatable(): boolean {
    return this.request.semantics === 'repeatable' && this.body._tag !== 'Streamed';
  }

  private countArrived(): number {
    return this.tried.length - this.unreachable;
  }

  private getMaxAttempts(): number {
    return this.request.service.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  }

  private takeRetry(): boolean {
    if (this.countArrived() >= this.getMaxAttempts() || this.request.caller.isGone()) {
      return false;
    }
    const { service, plan } = this.request;
    return this.parts.budget.tryRetry(service, plan.targetService);
  }

  /** Waits a jittered, doubling delay; false where the deadline or the caller leaves no time. */
  private async waitBackoff(): Promise<boolean> {
    const { clock, random } = this.parts;
    const { caller, deadlineAtMs } = this.request;
    const delayMs = FIRST_BACKOFF_MS * 2 ** (this.tried.length - 1) * random.nextFloat();
    if (clock.getMonotonicMs() + delayMs >= deadlineAtMs) {
      return false;
    }
    await waitFor(clock, delayMs, caller.signal);
    return !caller.isGone();
  }

  private answerEnd(end: Failed, failure: RequestFailure): void {
    if (end._tag === 'InDoubt' && end.headSent) {
      cutAnswer(this.response);
      this.recordOutcome('cut', failure);
      return;
    }
    this.answerFailure(failure);
  }

  private answerFailure(failure: RequestFailure): void {
    if (this.request.caller.isGone()) {
      this.recordOutcome('caller-gone');
      return;
    }
    sendProblem(this.response, failure);
    if (failure._tag === 'NotRun') {
      this.parts.metrics.recordRefusal(failure.reason);
      this.recordOutcome('not-run', failure);
      return;
    }
    this.recordOutcome('unknown', failure);
  }

  private recordOutcome(
    outcome: Parameters<ForwardMetrics['recordRequest']>[1],
    failure?: RequestFailure,
  ): void {
    const { clock, metrics } = this.parts;
    const durationMs = clock.getMonotonicMs() - this.request.receivedAtMs;
    metrics.recordRequest(this.request.service.name, outcome, durationMs);
    this.logOutcome(outcome, durationMs, failure);
  }

  private logOutcome(outcome: string, durationMs: number, failure?: RequestFailure): void {
    const { id: requestId, service, plan, semantics, affinityKey } = this.request;
    const fields = {
      requestId,
      rule: service.name,
      targetService: plan.targetService,
      semantics,
      affinityKey,
      outcome,
      durationMs: Math.round(durationMs),
      attempts: this.attempts,
      ...(failure === undefined ? {} : describeFailure(failure)),
    };
    if (outcome === 'answered') {
      this.parts.logger.info('request answered', fields);
    } else {
      this.parts.logger.warn(`request ended: ${outcome}`, fields);
    }
  }
}
