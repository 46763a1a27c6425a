/**
 * Runs attempts: acquires a connection to the chosen target, then runs one exchange on it.
 */
import type { ServerResponse } from 'node:http';
import type Target from '@burdockcove/types/Target';
import Attempt from './Attempt.js';
import type AttemptObserver from './AttemptObserver.js';
import type AttemptDependencies from './AttemptDependencies.js';
import type CallerRequest from './CallerRequest.js';
import computeConnectionLimit from './computeConnectionLimit.js';
import type ConnectionPool from './ConnectionPool.js';
import type ConnectionPools from './ConnectionPools.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type RequestBody from './RequestBody.js';
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
    observer: AttemptObserver,
  ): Promise<ExchangeEnd> {
    const { dependencies } = this;
    const pool = this.pools.getPool(target.address);
    let connection: TargetConnection | null;
    try {
      connection =
        this.acquireConnection(pool, request) ??
        (await this.waitForConnection(pool, request, observer));
    } catch (error) {
      // No connection can be made to such an address.
      return { ...NOTHING_SENT, cause: 'unreachable', detail: String(error) };
    }
    await request.caller.refresh(dependencies.clock);
    const remainingMs = this.getRemainingMs(request);
    if (observer.isSuperseded()) {
      const detail = 'another target answered first';
      return this.endUnsent(pool, connection, { cause: 'superseded', detail });
    }
    if (request.caller.isDisconnected()) {
      const detail = 'the caller left before the request was sent';
      return this.endUnsent(pool, connection, { cause: 'caller-gone', detail });
    }
    if (connection === null || remainingMs < MIN_REMAINING_MS) {
      const detail = 'no connection was free in time';
      return this.endUnsent(pool, connection, { cause: 'deadline', detail });
    }
    if (!dependencies.stopAdmission.maySend(request)) {
      const detail = 'this entry VM stops before the request would end';
      return this.endUnsent(pool, connection, { cause: 'stopping', detail });
    }
    if (!dependencies.availability.isAvailable(target)) {
      const detail = 'the target takes no requests any more';
      return this.endUnsent(pool, connection, { cause: 'target-unavailable', detail });
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
        observer,
        resolve,
      ).start(remainingMs);
    });
  }

  private acquireConnection(pool: ConnectionPool, request: CallerRequest): TargetConnection | null {
    const { connectionsPerTarget } = request.service;
    const limit = computeConnectionLimit(connectionsPerTarget, this.getMaxEntryVms());
    return pool.acquire(limit, request.semantics === 'at-most-once', request.id);
  }

  /** Resolves with null if the deadline passes, the caller disconnects or the attempt is superseded first. */
  private async waitForConnection(
    pool: ConnectionPool,
    request: CallerRequest,
    observer: AttemptObserver,
  ): Promise<TargetConnection | null> {
    const isOver = (): boolean => request.caller.isDisconnected() || observer.isSuperseded();
    while (!isOver() && this.getRemainingMs(request) >= MIN_REMAINING_MS) {
      await this.waitForFree(pool, request, observer);
      const connection = isOver() ? null : this.acquireConnection(pool, request);
      if (connection !== null) {
        return connection;
      }
    }
    return null;
  }

  private async waitForFree(
    pool: ConnectionPool,
    request: CallerRequest,
    observer: AttemptObserver,
  ): Promise<void> {
    const { clock } = this.dependencies;
    await new Promise<void>((resolve) => {
      const releases: (() => void)[] = [];
      const finish = (): void => {
        releases.forEach((release) => release());
        resolve();
      };
      const timer = clock.startTimer(this.getRemainingMs(request), finish);
      const listener = { onCallerDisconnected: finish };
      request.caller.addListener(listener);
      observer.setCancel(finish);
      releases.push(
        pool.waitForFree(finish),
        () => timer.cancel(),
        () => request.caller.removeListener(listener),
        () => observer.setCancel(null),
      );
    });
  }

  private endUnsent(
    pool: ConnectionPool,
    connection: TargetConnection | null,
    reason: Pick<Extract<ExchangeEnd, { _tag: 'NotSent' }>, 'cause' | 'detail'>,
  ): ExchangeEnd {
    if (connection !== null) {
      pool.release(connection, true);
    }
    return { ...NOTHING_SENT, ...reason };
  }

  private getRemainingMs(request: CallerRequest): number {
    return request.deadlineAtMs - this.dependencies.clock.getMonotonicMs();
  }
}
