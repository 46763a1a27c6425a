/**
 * Runs attempts: acquires a connection to the chosen target, then runs one exchange on it.
 */
import type { ServerResponse } from 'node:http';
import type Target from '@burdockcove/types/Target';
import Attempt from './Attempt.js';
import type AttemptDependencies from './AttemptDependencies.js';
import type CallerRequest from './CallerRequest.js';
import computeConnectionLimit from './computeConnectionLimit.js';
import type ConnectionPool from './ConnectionPool.js';
import type ConnectionPools from './ConnectionPools.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type RequestBody from './RequestBody.js';
import type AbandonPolicy from './AbandonPolicy.js';
import type TargetConnection from './TargetConnection.js';

/** Least remaining time, in milliseconds, with which a request is still sent. */
const MIN_REMAINING_MS = 1;
const NOTHING_SENT = { _tag: 'NotSent', latencyMs: 0, receivedBytes: 0 } as const;

/** Sends requests to targets; reports failures as `ExchangeEnd` and never throws. */
export default class AttemptRunner {
  constructor(
    private readonly dependencies: AttemptDependencies,
    private readonly pools: ConnectionPools,
    private readonly getMaxEntryVms: () => number,
  ) {}

  /** Runs one exchange and resolves with its end. */
  async runAttempt(
    request: CallerRequest,
    body: RequestBody,
    target: Target,
    response: ServerResponse,
    advisor: AbandonPolicy,
  ): Promise<ExchangeEnd> {
    const { dependencies } = this;
    const pool = this.pools.getPool(target.address);
    let connection: TargetConnection | null;
    try {
      connection =
        this.acquireConnection(pool, request) ?? (await this.waitForConnection(pool, request));
    } catch (error) {
      // No connection can be made to such an address.
      return { ...NOTHING_SENT, cause: 'unreachable', detail: String(error) };
    }
    await request.caller.refresh(dependencies.clock);
    const remainingMs = this.getRemainingMs(request);
    if (connection === null || request.caller.isDisconnected() || remainingMs < MIN_REMAINING_MS) {
      return this.endUnsent(request, pool, connection);
    }
    if (!dependencies.availability.isAvailable(target)) {
      pool.release(connection, true);
      const detail = 'the target takes no requests any more';
      return { ...NOTHING_SENT, cause: 'target-unavailable', detail };
    }
    return new Promise((resolve) => {
      new Attempt(
        dependencies,
        pool,
        connection,
        target,
        request,
        body,
        response,
        advisor,
        resolve,
      ).start(remainingMs);
    });
  }

  private acquireConnection(pool: ConnectionPool, request: CallerRequest): TargetConnection | null {
    const { connectionsPerTarget } = request.service;
    const limit = computeConnectionLimit(connectionsPerTarget, this.getMaxEntryVms());
    return pool.acquire(limit, request.semantics === 'at-most-once', request.id);
  }

  /** Resolves with null if the deadline passes or the caller disconnects first. */
  private async waitForConnection(
    pool: ConnectionPool,
    request: CallerRequest,
  ): Promise<TargetConnection | null> {
    while (!request.caller.isDisconnected() && this.getRemainingMs(request) >= MIN_REMAINING_MS) {
      await this.waitForFree(pool, request);
      const connection = request.caller.isDisconnected()
        ? null
        : this.acquireConnection(pool, request);
      if (connection !== null) {
        return connection;
      }
    }
    return null;
  }

  private async waitForFree(pool: ConnectionPool, request: CallerRequest): Promise<void> {
    const { clock } = this.dependencies;
    await new Promise<void>((resolve) => {
      const stopWaiting = pool.waitForFree(resolve);
      const timer = clock.startTimer(this.getRemainingMs(request), () => {
        stopWaiting();
        resolve();
      });
      const onCallerDisconnected = (): void => {
        stopWaiting();
        timer.cancel();
        resolve();
      };
      request.caller.setListener({ onCallerDisconnected });
    });
    request.caller.setListener(null);
  }

  private endUnsent(
    request: CallerRequest,
    pool: ConnectionPool,
    connection: TargetConnection | null,
  ): ExchangeEnd {
    if (connection !== null) {
      pool.release(connection, true);
    }
    const isGone = request.caller.isDisconnected();
    return {
      ...NOTHING_SENT,
      cause: isGone ? 'caller-gone' : 'deadline',
      detail: isGone
        ? 'the caller left before the request was sent'
        : 'no connection was free in time',
    };
  }

  private getRemainingMs(request: CallerRequest): number {
    return request.deadlineAtMs - this.dependencies.clock.getMonotonicMs();
  }
}
