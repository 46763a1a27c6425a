/**
 * Forwards one request: chooses a target, runs an attempt and retries if that is safe.
 */
import type { ServerResponse } from 'node:http';
import { isLeft } from 'fp-ts/lib/Either.js';
import waitFor from '@burdockcove/runtime/waitFor';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type ForwardMetrics from '../ForwardMetrics.js';
import makeStopRefusal from '../drain/makeStopRefusal.js';
import type CallerRequest from './CallerRequest.js';
import AttemptRace from './AttemptRace.js';
import type AttemptObserver from './AttemptObserver.js';
import CallerChoiceRequest from './CallerChoiceRequest.js';
import abortResponse from './abortResponse.js';
import buildRequestFailure from './buildRequestFailure.js';
import classifyExchangeEnd from './classifyExchangeEnd.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type ForwarderDependencies from './ForwarderDependencies.js';
import Failover from './Failover.js';
import type RequestBody from './RequestBody.js';
import RequestLogEntry from './RequestLogEntry.js';
import RetryRules from './RetryRules.js';
import type RunningAttempt from './RunningAttempt.js';
import sendProblem from './sendProblem.js';

const STEP = 'planned stop';
const INITIAL_BACKOFF_MS = 10;
/** Tells the caller not to repeat the request, although a target may have run part of it. */
const CONTENT_TOO_LARGE_STATUS = 413;

type Failed = Exclude<ExchangeEnd, { _tag: 'Answered' }>;

/** Sends exactly one response, or resets the caller's connection. */
export default class ForwardTask {
  private readonly retries: RetryRules;

  private readonly choiceRequest: CallerChoiceRequest;

  private readonly failover: Failover;

  private readonly record: RequestLogEntry;

  /** Kept from the first attempt with an unknown outcome on, since later attempts cannot rule out that it ran. */
  private firstUnknownFailure: RequestFailure | null = null;

  private mayHaveRun = false;

  constructor(
    private readonly dependencies: ForwarderDependencies,
    private readonly request: CallerRequest,
    private readonly body: RequestBody,
    private readonly response: ServerResponse,
  ) {
    this.retries = new RetryRules(dependencies.budget, request, body);
    this.choiceRequest = new CallerChoiceRequest(request, this.retries.tried);
    this.failover = new Failover(dependencies, this.choiceRequest, () =>
      this.retries.acquireRetry(),
    );
    this.record = new RequestLogEntry(dependencies.logger, request);
  }

  /** Resolves once nothing more can be sent to the caller, with whether a target may have run the request. */
  async run(): Promise<boolean> {
    await this.runAttempts();
    if (this.body._tag === 'Streamed') {
      this.body.stream.discardRest();
    }
    return this.mayHaveRun;
  }

  private async runAttempts(): Promise<void> {
    if (!this.dependencies.stopAdmission.mayAccept(this.request)) {
      const detail = 'this entry VM stops before the request would end';
      this.sendFailure(makeStopRefusal(STEP, this.request.member, detail));
      return;
    }
    for (;;) {
      const first = await this.dependencies.chooser.chooseTarget(this.choiceRequest);
      if (isLeft(first)) {
        this.sendFailure(this.firstUnknownFailure ?? first.left);
        return;
      }
      const { choice, end } = await this.runRace(first.right);
      if (end._tag === 'Answered') {
        this.recordOutcome('answered');
        return;
      }
      if (!this.retries.canRetry(end) || !(await this.waitForBackoff())) {
        const failure = buildRequestFailure(end, choice.target.address);
        this.sendEnd(end, this.firstUnknownFailure ?? failure);
        return;
      }
    }
  }

  private async runRace(first: Choice): ReturnType<AttemptRace['run']> {
    const race = new AttemptRace({
      clock: this.dependencies.clock,
      runAttempt: (choice, observer) => this.startAttempt(choice, observer),
      takeOther: () => (this.canHedge() ? this.failover.takeChoice() : null),
      recordEnd: (attempt, end) => this.recordAttemptEnd(attempt, end),
    });
    this.failover.open();
    const result = await race.run(first);
    this.failover.close();
    return result;
  }

  /** Whether another attempt may run beside one whose target is silent. */
  private canHedge(): boolean {
    return this.retries.isRepeatable() && !this.request.service.billed;
  }

  private startAttempt({ target }: Choice, observer: AttemptObserver): Promise<ExchangeEnd> {
    this.retries.recordStart(target.name);
    const { request, body, response } = this;
    return this.dependencies.runner.runAttempt(request, body, target, response, observer);
  }

  private recordAttemptEnd(attempt: RunningAttempt, end: ExchangeEnd): void {
    const { permits, metrics } = this.dependencies;
    const { service, deadlineAtMs } = this.request;
    const { choice, startedAtMs } = attempt;
    this.record.addAttempt(choice, end, startedAtMs);
    permits.releasePermit(choice.permit, end._tag !== 'InDoubt', deadlineAtMs);
    const ended = classifyExchangeEnd(end);
    const status = 'status' in end ? end.status : 0;
    choice.reportResult({ ...end, ended, status });
    metrics.recordAttempt(service.name, ended);
    if (end._tag === 'Answered' || end._tag === 'InDoubt') {
      this.mayHaveRun = true;
      const durationMs = this.dependencies.clock.getMonotonicMs() - startedAtMs;
      this.dependencies.stopAdmission.recordAttempt(service.name, durationMs);
    }
    if (end._tag === 'Shed') {
      this.retries.recordShed(choice.target.name, end);
    }
    if (end._tag === 'InDoubt' && !attempt.isSuperseded()) {
      this.firstUnknownFailure ??= buildRequestFailure(end, choice.target.address);
    }
  }

  /** Waits for an exponential delay with jitter; returns false if the deadline is too close or the caller disconnects. */
  private async waitForBackoff(): Promise<boolean> {
    const { clock, random } = this.dependencies;
    const { caller, deadlineAtMs } = this.request;
    const ceilingMs = INITIAL_BACKOFF_MS * 2 ** (this.record.countAttempts() - 1);
    const delayMs = ceilingMs * random.nextFloat();
    if (clock.getMonotonicMs() + delayMs >= deadlineAtMs) {
      return false;
    }
    await waitFor(clock, delayMs, caller.signal);
    return !caller.isDisconnected();
  }

  private sendEnd(end: Failed, failure: RequestFailure): void {
    if (end._tag === 'InDoubt' && end.headSent) {
      abortResponse(this.response);
      this.recordOutcome('cut', failure);
      return;
    }
    const isTooLarge = end._tag === 'InDoubt' && end.cause === 'body-too-large';
    this.sendFailure(failure, isTooLarge ? CONTENT_TOO_LARGE_STATUS : undefined);
  }

  private sendFailure(failure: RequestFailure, status?: number): void {
    if (this.request.caller.isDisconnected()) {
      this.recordOutcome('caller-gone');
      return;
    }
    sendProblem(this.response, failure, status);
    if (failure._tag === 'NotRun') {
      this.dependencies.metrics.recordRefusal(failure.reason);
      this.recordOutcome('not-run', failure);
      return;
    }
    this.recordOutcome('unknown', failure);
  }

  private recordOutcome(
    outcome: Parameters<ForwardMetrics['recordRequest']>[1],
    failure?: RequestFailure,
  ): void {
    const { clock, metrics } = this.dependencies;
    const durationMs = clock.getMonotonicMs() - this.request.receivedAtMs;
    metrics.recordRequest(this.request.service.name, outcome, durationMs);
    if (outcome !== 'not-run') {
      this.dependencies.stopAdmission.recordRequest(this.request.service.name, durationMs);
    }
    this.record.logOutcome(outcome, durationMs, this.getBodyUnreadMs(), failure);
  }

  private getBodyUnreadMs(): number | undefined {
    return this.body._tag === 'Streamed' ? this.body.stream.getUnreadMs() : undefined;
  }
}
