/**
 * The log entry of one request.
 */
import type Logger from '@burdockcove/runtime/Logger';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../Choice.js';
import type CallerRequest from './CallerRequest.js';
import classifyExchangeEnd from './classifyExchangeEnd.js';
import type ExchangeEnd from './ExchangeEnd.js';

/** One attempt; `basis` explains the choice of its target. */
interface AttemptRecord {
  readonly target: string;
  readonly address: string;
  readonly ended: string;
  readonly status: number;
  readonly latencyMs: number;
  /** Time from the receipt of the request to the start of the attempt, in milliseconds. */
  readonly sentAfterMs: number;
  readonly basis: Choice['basis'];
}

/** Collects the attempts of a request and logs them in one line with its outcome. */
export default class RequestLogEntry {
  private readonly attempts: AttemptRecord[] = [];

  constructor(
    private readonly logger: Logger,
    private readonly request: CallerRequest,
  ) {}

  countAttempts(): number {
    return this.attempts.length;
  }

  addAttempt({ target, basis }: Choice, end: ExchangeEnd, startedAtMs: number): void {
    this.attempts.push({
      target: target.name,
      address: target.address,
      ended: classifyExchangeEnd(end),
      status: 'status' in end ? end.status : 0,
      latencyMs: Math.round(end.latencyMs),
      sentAfterMs: Math.round(startedAtMs - this.request.receivedAtMs),
      basis,
    });
  }

  /**
   * Logs the outcome; `failure` is the failure that was reported to the caller, if any. `bodyUnreadMs` is the time for
   * which an incomplete body had not been read, in milliseconds.
   */
  logOutcome(
    outcome: string,
    durationMs: number,
    bodyUnreadMs?: number,
    failure?: RequestFailure,
  ): void {
    const { id: requestId, service, plan, semantics, affinityKey, revision } = this.request;
    const fields = {
      requestId,
      revision,
      service: service.name,
      targetService: plan.targetService,
      semantics,
      affinityKey,
      outcome,
      durationMs: Math.round(durationMs),
      attempts: this.attempts,
      ...(bodyUnreadMs === undefined ? {} : { bodyUnreadMs: Math.round(bodyUnreadMs) }),
    };
    if (outcome === 'answered') {
      this.logger.info('request answered', fields);
      return;
    }
    const { step, peer, detail } = failure ?? { step: 'caller', peer: '', detail: '' };
    const reason = failure?._tag === 'NotRun' ? { reason: failure.reason } : {};
    this.logger.warn(`request ended: ${outcome}`, { ...fields, ...reason, step, peer, detail });
  }
}
