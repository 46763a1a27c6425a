/**
 * The way of one request: choice, attempt, and another one where that is safe.
 */
import type { ServerResponse } from 'node:http';
import { isLeft, right, type Either } from 'fp-ts/lib/Either.js';
import waitFor from '@burdockcove/runtime/waitFor';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type ForwardMetrics from '../ForwardMetrics.js';
import hasFreeSlots from '../hasFreeSlots.js';
import type CallerRequest from './CallerRequest.js';
import ChoiceWish from './ChoiceWish.js';
import cutAnswer from './cutAnswer.js';
import describeEnd from './describeEnd.js';
import describeResult from './describeResult.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type ForwarderParts from './ForwarderParts.js';
import HandOver from './HandOver.js';
import type RequestBody from './RequestBody.js';
import RequestRecord from './RequestRecord.js';
import sendProblem from './sendProblem.js';
import type SilenceAdvisor from './SilenceAdvisor.js';

const DEFAULT_MAX_ATTEMPTS = 3;
/** Targets that may turn out unreachable beside the attempts that arrived. */
const MAX_UNREACHABLE = 3;
/** Refusals by targets after which the caller is told. */
const MAX_SHEDS = 3;
const FIRST_BACKOFF_MS = 10;

type Failed = Exclude<ExchangeEnd, { _tag: 'Answered' }>;

/** Answers its request exactly once, or cuts the caller's connection. */
export default class ForwardTask implements SilenceAdvisor {
  private readonly tried: string[] = [];

  private readonly wish: ChoiceWish;

  private readonly handOver: HandOver;

  private readonly record: RequestRecord;

  private unreachable = 0;

  /** Attempts that a target may have run. */
  private arrived = 0;

  private sheds = 0;

  /** The first doubt stays: once a target may have run the request, it may have run it. */
  private doubt: RequestFailure | null = null;

  constructor(
    private readonly parts: ForwarderParts,
    private readonly request: CallerRequest,
    private readonly body: RequestBody,
    private readonly response: ServerResponse,
  ) {
    this.wish = new ChoiceWish(request, this.tried);
    this.handOver = new HandOver(parts, this.wish, () => this.takeRetry());
    this.record = new RequestRecord(parts.logger, request);
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
      const isHandedOver = this.closeAttempt(choice.right, end);
      if (end._tag === 'Answered') {
        this.recordOutcome('answered');
        return;
      }
      const failure = describeEnd(end, choice.right.target.address);
      if (failure._tag === 'Unknown') {
        this.doubt ??= failure;
      }
      if (!isHandedOver && (!this.mayRetry(end) || !(await this.waitBackoff()))) {
        this.answerEnd(end, this.doubt ?? failure);
        return;
      }
    }
  }

  /** A repeatable request leaves a silent target once another one is ready and the budget allows it. */
  mayGiveUp(): boolean {
    return this.isRepeatable() && this.handOver.isReady();
  }

  private async takeChoice(): Promise<Either<RequestFailure, Choice>> {
    const next = this.handOver.take();
    return next === null ? this.parts.chooser.chooseTarget(this.wish) : right(next);
  }

  private startAttempt({ target }: Choice): Promise<ExchangeEnd> {
    this.tried.push(target.name);
    this.arrived += 1;
    this.handOver.open();
    return this.parts.runner.runAttempt(this.request, this.body, target, this.response, this);
  }

  /** Learns from the end of an attempt; true where the request goes on to another target at once. */
  private closeAttempt(choice: Choice, end: ExchangeEnd): boolean {
    const { permits, metrics } = this.parts;
    const { service, deadlineAtMs } = this.request;
    const isSilent = end._tag === 'InDoubt' && end.cause === 'silent';
    this.handOver.close(isSilent);
    this.record.addAttempt(choice, end);
    permits.settlePermit(choice.permit, end._tag !== 'InDoubt', deadlineAtMs);
    const ended = describeResult(end);
    const status = 'status' in end ? end.status : 0;
    choice.reportResult({ ...end, ended, status });
    metrics.recordAttempt(service.name, ended);
    if (end._tag === 'Shed') {
      this.noteShed(end);
    }
    return isSilent;
  }

  /** A refusal ran nothing, so that it does not count among the targets that may have run the request. */
  private noteShed(end: Extract<Failed, { _tag: 'Shed' }>): void {
    this.arrived -= 1;
    this.sheds += 1;
    if (!end.isMisdirected && hasFreeSlots(end)) {
      // It refused without being full, so that it is as good a choice as before.
      this.tried.pop();
    }
  }

  /** An at-most-once request goes elsewhere only if no target can have run it. */
  private mayRetry(end: Failed): boolean {
    if (end._tag === 'NotSent') {
      return end.cause === 'unreachable' && this.mayTryUnreached();
    }
    if (end._tag === 'InDoubt' && (end.cause !== 'broken' || end.headSent)) {
      return false;
    }
    if (end._tag === 'InDoubt' && !this.isRepeatable()) {
      return false;
    }
    const isBodyLost = this.body._tag === 'Streamed' && end._tag === 'Shed';
    return !isBodyLost && this.takeRetry();
  }

  /** Nothing arrived anywhere, so that another target costs the budget nothing. */
  private mayTryUnreached(): boolean {
    this.unreachable += 1;
    this.arrived -= 1;
    return this.unreachable <= MAX_UNREACHABLE && !this.request.caller.isGone();
  }

  private isRepeatable(): boolean {
    return this.request.semantics === 'repeatable' && this.body._tag !== 'Streamed';
  }

  private takeRetry(): boolean {
    const { service, plan, caller } = this.request;
    const maxAttempts = service.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    if (this.arrived >= maxAttempts || this.sheds > MAX_SHEDS || caller.isGone()) {
      return false;
    }
    return this.parts.budget.tryAcquireRetry(service, plan.targetService);
  }

  /** Waits a jittered, doubling delay; false where the deadline or the caller leaves no time. */
  private async waitBackoff(): Promise<boolean> {
    const { clock, random } = this.parts;
    const { caller, deadlineAtMs } = this.request;
    const ceilingMs = FIRST_BACKOFF_MS * 2 ** (this.record.countAttempts() - 1);
    const delayMs = ceilingMs * random.nextFloat();
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
    this.record.logOutcome(outcome, durationMs, failure);
  }
}
