/**
 * Attempts: a connection to the chosen target, then one exchange on it.
 */
import type { ServerResponse } from 'node:http';
import type Target from '@burdockcove/types/Target';
import Attempt from './Attempt.js';
import type AttemptParts from './AttemptParts.js';
import type CallerRequest from './CallerRequest.js';
import computeConnectionLimit from './computeConnectionLimit.js';
import type ConnectionPool from './ConnectionPool.js';
import type ConnectionPools from './ConnectionPools.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type RequestBody from './RequestBody.js';
import type SilenceAdvisor from './SilenceAdvisor.js';
import type TargetConnection from './TargetConnection.js';

/** Below this there is no time left to send a request, in milliseconds. */
const MIN_REMAINING_MS = 1;

/** Sends requests to targets; never throws. */
export default class AttemptRunner {
  constructor(
    private readonly parts: AttemptParts,
    private readonly pools: ConnectionPools,
    private readonly getMaxEntryVms: () => number,
  ) {}

  /** Runs one exchange to its end. */
  runAttempt(
    request: CallerRequest,
    body: RequestBody,
    target: Target,
    response: ServerResponse,
    advisor: SilenceAdvisor,
  ): Promise<ExchangeEnd> {
    return new Promise((resolve) => {
      const pool = this.pools.getPool(target.address);
      const start = (connection: TargetConnection | null): void => {
        const remainingMs = this.getRemainingMs(request);
        if (connection === null || request.caller.isGone() || remainingMs < MIN_REMAINING_MS) {
          this.giveUp(request, pool, connection, resolve);
          return;
        }
        const { parts } = this;
        new Attempt(
          parts,
          pool,
          connection,
          target,
          request,
          body,
          response,
          advisor,
          resolve,
        ).start(remainingMs);
      };
      const connection = this.takeNow(pool, request);
      if (connection === null) {
        this.waitForConnection(pool, request).then(start, () => start(null));
      } else {
        start(connection);
      }
    });
  }

  private takeNow(pool: ConnectionPool, request: CallerRequest): TargetConnection | null {
    const { connectionsPerTarget } = request.service;
    const limit = computeConnectionLimit(connectionsPerTarget, this.getMaxEntryVms());
    return pool.take(limit, request.semantics === 'at-most-once');
  }

  /** Null where the deadline ended or the caller went away first. */
  private async waitForConnection(
    pool: ConnectionPool,
    request: CallerRequest,
  ): Promise<TargetConnection | null> {
    while (!request.caller.isGone() && this.getRemainingMs(request) >= MIN_REMAINING_MS) {
      await this.waitForFree(pool, request);
      const connection = request.caller.isGone() ? null : this.takeNow(pool, request);
      if (connection !== null) {
        return connection;
      }
    }
    return null;
  }

  private async waitForFree(pool: ConnectionPool, request: CallerRequest): Promise<void> {
    const { clock } = this.parts;
    await new Promise<void>((resolve) => {
      const stopWaiting = pool.waitForFree(resolve);
      const timer = clock.startTimer(this.getRemainingMs(request), () => {
        stopWaiting();
        resolve();
      });
      const onCallerGone = (): void => {
        stopWaiting();
        timer.cancel();
        resolve();
      };
      request.caller.setListener({ onCallerGone });
    });
    request.caller.setListener(null);
  }

  private giveUp(
    request: CallerRequest,
    pool: ConnectionPool,
    connection: TargetConnection | null,
    resolve: (end: ExchangeEnd) => void,
  ): void {
    if (connection !== null) {
      pool.giveBack(connection, true);
    }
    resolve({
      _tag: 'NotSent',
      cause: request.caller.isGone() ? 'caller-gone' : 'deadline',
      latencyMs: 0,
      receivedBytes: 0,
      detail: 'no connection was free in time',
    });
  }

  private getRemainingMs(request: CallerRequest): number {
    return request.deadlineAtMs - this.parts.clock.getMonotonicMs();
  }
}
