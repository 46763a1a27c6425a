/**
 * The way of one request: choice, attempt, and another one where that is safe.
 */
import type { ServerResponse } from 'node:http';
import { isLeft } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type AttemptResult from '../AttemptResult.js';
import type Choice from '../Choice.js';
import type ForwardMetrics from '../ForwardMetrics.js';
import type RetryBudget from '../RetryBudget.js';
import type TargetChooser from '../TargetChooser.js';
import type AttemptRunner from './AttemptRunner.js';
import type CallerRequest from './CallerRequest.js';
import cutAnswer from './cutAnswer.js';
import describeEnd from './describeEnd.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type PermitKeeper from './PermitKeeper.js';
import sendProblem from './sendProblem.js';

const MAX_ATTEMPTS = 3;
const FIRST_BACKOFF_MS = 10;

type Failed = Exclude<ExchangeEnd, { _tag: 'Answered' }>;

function describeResult(end: ExchangeEnd): AttemptResult['ended'] {
  switch (end._tag) {
    case 'Answered':
      return 'answered';
    case 'Shed':
      return 'shed';
    default:
      break;
  }
  switch (end.cause) {
    case 'caller-gone':
    case 'refused':
      return 'cancelled';
    case 'deadline':
    case 'silent':
      return 'timed-out';
    default:
      return end.cause;
  }
}

/** Answers each request exactly once, or cuts the caller's connection. */
export default class Forwarder {
  constructor(
    private readonly chooser: TargetChooser,
    private readonly runner: AttemptRunner,
    private readonly budget: RetryBudget,
    private readonly permits: PermitKeeper,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly metrics: ForwardMetrics,
  ) {
    metrics.watchHeldPermits(() => permits.countHeld());
  }

  /** Resolves once the answer, a problem, or nothing more can be sent. */
  async forwardRequest(request: CallerRequest, response: ServerResponse): Promise<void> {
    this.budget.recordFirstAttempt(request.service);
    const tried: string[] = [];
    let doubt: RequestFailure | null = null;
    for (;;) {
      const choice = await this.chooser.chooseTarget({ ...request, tried });
      if (isLeft(choice)) {
        this.answerFailure(request, response, doubt ?? choice.left);
        return;
      }
      tried.push(choice.right.target.name);
      let paidRetry = false;
      const mayGiveUp = (): boolean => {
        paidRetry = this.isRepeatable(request) && this.takeRetry(request, tried.length);
        return paidRetry;
      };
      const end = await this.runAttempt(request, choice.right, response, mayGiveUp);
      if (end._tag === 'Answered') {
        this.recordOutcome(request, 'answered');
        return;
      }
      const failure = describeEnd(end, choice.right.target.address);
      doubt = failure._tag === 'Unknown' ? failure : doubt;
      const retries = paidRetry || this.mayRetry(request, end, tried.length);
      if (!retries || !(await this.waitBackoff(request, tried.length))) {
        this.answerEnd(request, response, end, doubt ?? failure);
        return;
      }
    }
  }

  private async runAttempt(
    request: CallerRequest,
    choice: Choice,
    response: ServerResponse,
    mayGiveUp: () => boolean,
  ): Promise<ExchangeEnd> {
    const end = await this.runner.runAttempt(request, choice.target, response, mayGiveUp);
    const ended = describeResult(end);
    this.permits.settlePermit(choice.permit, end._tag !== 'InDoubt', request.deadlineAtMs);
    const status = 'status' in end ? end.status : 0;
    choice.reportResult({ ended, status, latencyMs: end.latencyMs });
    this.metrics.recordAttempt(request.service.name, ended);
    return end;
  }

  /** An at-most-once request goes elsewhere only if no target can have run it. */
  private mayRetry(request: CallerRequest, end: Failed, attempts: number): boolean {
    if (end._tag !== 'Shed' && end.cause !== 'broken' && end.cause !== 'unreachable') {
      return false;
    }
    if (end._tag === 'InDoubt' && (end.headSent || !this.isRepeatable(request))) {
      return false;
    }
    const isBodyLost = request.body._tag === 'Streamed' && end._tag === 'Shed';
    return !isBodyLost && this.takeRetry(request, attempts);
  }

  private isRepeatable(request: CallerRequest): boolean {
    return request.semantics === 'repeatable' && request.body._tag !== 'Streamed';
  }

  private takeRetry(request: CallerRequest, attempts: number): boolean {
    if (attempts >= MAX_ATTEMPTS || request.signal.aborted) {
      return false;
    }
    const granted = this.budget.tryRetry(request.service);
    this.metrics.recordRetry(request.service.name, granted);
    return granted;
  }

  /** Waits a jittered, doubling delay; false where the deadline or the caller leaves no time. */
  private async waitBackoff(request: CallerRequest, attempts: number): Promise<boolean> {
    const delayMs = FIRST_BACKOFF_MS * 2 ** (attempts - 1) * this.random.nextFloat();
    if (this.clock.getMonotonicMs() + delayMs >= request.deadlineAtMs) {
      return false;
    }
    await waitFor(this.clock, delayMs, request.signal);
    return !request.signal.aborted;
  }

  private answerEnd(
    request: CallerRequest,
    response: ServerResponse,
    end: Failed,
    failure: RequestFailure,
  ): void {
    if (end._tag === 'InDoubt' && end.headSent) {
      cutAnswer(response);
      this.logFailure(request, failure, 'answer cut off');
      this.recordOutcome(request, 'cut');
      return;
    }
    this.answerFailure(request, response, failure);
  }

  private answerFailure(
    request: CallerRequest,
    response: ServerResponse,
    failure: RequestFailure,
  ): void {
    if (request.signal.aborted) {
      this.recordOutcome(request, 'caller-gone');
      return;
    }
    sendProblem(response, failure);
    if (failure._tag === 'NotRun') {
      this.metrics.recordRefusal(failure.reason);
      this.recordOutcome(request, 'not-run');
      return;
    }
    this.logFailure(request, failure, 'outcome unknown');
    this.recordOutcome(request, 'unknown');
  }

  private recordOutcome(
    request: CallerRequest,
    outcome: Parameters<ForwardMetrics['recordRequest']>[1],
  ): void {
    const durationMs = this.clock.getMonotonicMs() - request.receivedAtMs;
    this.metrics.recordRequest(request.service.name, outcome, durationMs);
  }

  private logFailure(request: CallerRequest, failure: RequestFailure, message: string): void {
    const { step, peer, detail } = failure;
    const service = request.service.name;
    this.logger.warn(message, { requestId: request.id, service, step, peer, detail });
  }
}
