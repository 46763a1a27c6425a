/**
 * One attempt: a connection to the chosen target and one exchange on it.
 */
import type { ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type Clock from '@burdockcove/runtime/Clock';
import type TargetProtocol from '@burdockcove/targets/TargetProtocol';
import type Target from '@burdockcove/types/Target';
import type ForwardMetrics from '../ForwardMetrics.js';
import type CallerRequest from './CallerRequest.js';
import computeConnectionLimit from './computeConnectionLimit.js';
import type ConnectionPool from './ConnectionPool.js';
import type ConnectionPools from './ConnectionPools.js';
import Exchange from './Exchange.js';
import type ExchangeEnd from './ExchangeEnd.js';
import HeadLatency from './HeadLatency.js';
import type SilenceWatch from './SilenceWatch.js';
import type TargetConnection from './TargetConnection.js';

/** Below this there is no time left to send a request, in milliseconds. */
const MIN_REMAINING_MS = 1;

type NotSent = Extract<ExchangeEnd, { _tag: 'NotSent' }>;

function isClean(end: ExchangeEnd): boolean {
  return end._tag === 'Answered' || end._tag === 'Shed';
}

/** False while the caller still sends its body, so that silence may be the caller's. */
function isUploaded({ body }: CallerRequest): boolean {
  return body._tag !== 'Streamed' || body.stream.readableEnded;
}

/** Sends requests to targets; never throws. */
export default class AttemptRunner {
  private readonly latencies = new Map<string, HeadLatency>();

  constructor(
    private readonly pools: ConnectionPools,
    private readonly silenceWatch: SilenceWatch,
    private readonly protocol: TargetProtocol,
    private readonly clock: Clock,
    private readonly metrics: ForwardMetrics,
    private readonly getMaxEntryVms: () => number,
  ) {}

  /**
   * Runs one exchange to its end. `mayGiveUp` is asked when the connection seems silent: true ends the
   * exchange, so that the request can go elsewhere.
   */
  async runAttempt(
    request: CallerRequest,
    target: Target,
    response: ServerResponse,
    mayGiveUp: () => boolean,
  ): Promise<ExchangeEnd> {
    const startedAtMs = this.clock.getMonotonicMs();
    const pool = this.pools.getPool(target.address);
    const connection = this.takeNow(pool, request) ?? (await this.waitForConnection(pool, request));
    if (connection === null) {
      return this.makeNotSent(request, startedAtMs);
    }
    const end = await this.runExchange(pool, connection, request, response, mayGiveUp);
    pool.giveBack(connection, isClean(end));
    return end;
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
    while (!request.signal.aborted && this.getRemainingMs(request) >= MIN_REMAINING_MS) {
      await this.waitForFree(pool, request);
      const connection = request.signal.aborted ? null : this.takeNow(pool, request);
      if (connection !== null) {
        return connection;
      }
    }
    return null;
  }

  private waitForFree(pool: ConnectionPool, request: CallerRequest): Promise<void> {
    return new Promise((resolve) => {
      const ended = new AbortController();
      const finish = (): void => {
        ended.abort();
        resolve();
      };
      const stopWaiting = pool.waitForFree(finish);
      const timer = this.clock.startTimer(this.getRemainingMs(request), finish);
      ended.signal.addEventListener('abort', stopWaiting, { once: true });
      ended.signal.addEventListener('abort', () => timer.cancel(), { once: true });
      request.signal.addEventListener('abort', finish, { once: true, signal: ended.signal });
    });
  }

  private runExchange(
    pool: ConnectionPool,
    connection: TargetConnection,
    request: CallerRequest,
    response: ServerResponse,
    mayGiveUp: () => boolean,
  ): Promise<ExchangeEnd> {
    const remainingMs = this.getRemainingMs(request);
    if (request.signal.aborted || remainingMs < MIN_REMAINING_MS) {
      return Promise.resolve(this.makeNotSent(request, this.clock.getMonotonicMs()));
    }
    return new Promise((resolve) => {
      const ending: { stop: () => void } = { stop: () => undefined };
      const exchange = new Exchange(connection, response, this.protocol, this.clock, (end) => {
        ending.stop();
        this.recordLatency(connection.address, end);
        resolve(end);
      });
      ending.stop = this.watchExchange(exchange, request, pool, remainingMs, mayGiveUp);
      this.dispatch(exchange, connection, request, remainingMs);
    });
  }

  /** Ends the exchange at its deadline or when the caller goes away; returns the way to stop. */
  private watchExchange(
    exchange: Exchange,
    request: CallerRequest,
    pool: ConnectionPool,
    remainingMs: number,
    mayGiveUp: () => boolean,
  ): () => void {
    const watched = this.buildWatched(exchange, request, pool, mayGiveUp);
    const onGone = (): void => exchange.cancel('caller-gone');
    const timer = this.clock.startTimer(remainingMs, () => exchange.cancel('deadline'));
    request.signal.addEventListener('abort', onGone);
    this.silenceWatch.add(watched);
    return () => {
      timer.cancel();
      request.signal.removeEventListener('abort', onGone);
      this.silenceWatch.remove(watched);
    };
  }

  private recordLatency(address: string, end: ExchangeEnd): void {
    if (isClean(end)) {
      this.getLatency(address).record(end.latencyMs);
    }
  }

  private buildWatched(
    exchange: Exchange,
    request: CallerRequest,
    pool: ConnectionPool,
    mayGiveUp: () => boolean,
  ): Parameters<SilenceWatch['add']>[0] {
    const silenceLimitMs = this.getLatency(pool.address).getSilenceLimitMs();
    let suspected = false;
    let askAtMs = 0;
    const onSilent = (): void => {
      if (!exchange.isWritten() || exchange.isPaused() || !isUploaded(request)) {
        return;
      }
      if (!suspected) {
        suspected = true;
        this.metrics.recordSilent(pool.closeUnproven(exchange.progressAtMs));
      }
      const nowMs = this.clock.getMonotonicMs();
      if (exchange.hasHead() || nowMs < askAtMs) {
        return;
      }
      askAtMs = nowMs + silenceLimitMs;
      if (mayGiveUp()) {
        exchange.cancel('silent');
      }
    };
    return {
      get progressAtMs() {
        return exchange.progressAtMs;
      },
      silenceLimitMs,
      onSilent,
    };
  }

  private dispatch(
    exchange: Exchange,
    connection: TargetConnection,
    request: CallerRequest,
    remainingMs: number,
  ): void {
    const { body } = request;
    const headers = [
      ...request.headers,
      'burdockcove-deadline-ms',
      String(Math.floor(remainingMs)),
    ];
    const options: Dispatcher.DispatchOptions = {
      path: request.path,
      method: request.method,
      headers,
      body: this.getBody(body, exchange),
    };
    connection.client.dispatch(options, exchange);
  }

  private getBody(
    body: CallerRequest['body'],
    exchange: Exchange,
  ): Dispatcher.DispatchOptions['body'] {
    if (body._tag === 'Empty') {
      return null;
    }
    if (body._tag === 'Buffered') {
      return body.bytes;
    }
    body.stream.setProgressListener(() => exchange.recordProgress());
    return body.stream;
  }

  private getLatency(address: string): HeadLatency {
    let latency = this.latencies.get(address);
    if (latency === undefined) {
      latency = new HeadLatency(this.clock);
      this.latencies.set(address, latency);
    }
    return latency;
  }

  private getRemainingMs(request: CallerRequest): number {
    return request.deadlineAtMs - this.clock.getMonotonicMs();
  }

  private makeNotSent(request: CallerRequest, startedAtMs: number): NotSent {
    return {
      _tag: 'NotSent',
      cause: request.signal.aborted ? 'caller-gone' : 'deadline',
      latencyMs: this.clock.getMonotonicMs() - startedAtMs,
      detail: 'no connection was free in time',
    };
  }
}
