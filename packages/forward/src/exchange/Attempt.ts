/**
 * One exchange on one connection, which ends early at the deadline, on the caller's disconnect or if another attempt
 * answers first.
 */
import type { ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type TargetNotice from '@burdockcove/targets/TargetNotice';
import type Target from '@burdockcove/types/Target';
import type Timer from '@burdockcove/runtime/Timer';
import type AttemptDependencies from './AttemptDependencies.js';
import type AttemptObserver from './AttemptObserver.js';
import type CallerRequest from './CallerRequest.js';
import type ConnectionPool from './ConnectionPool.js';
import computeSilenceLimitMs from './computeSilenceLimitMs.js';
import Exchange from './Exchange.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type ExchangeListener from './ExchangeListener.js';
import type RequestBody from './RequestBody.js';
import type TargetConnection from './TargetConnection.js';

function isClean(end: ExchangeEnd): boolean {
  return end._tag === 'Answered' || end._tag === 'Shed';
}

/** Runs one exchange and then releases the connection to its pool. */
export default class Attempt implements ExchangeListener {
  silenceLimitMs = Infinity;

  private readonly exchange: Exchange;

  private timer: Timer | null = null;

  private isSilenceRecorded = false;

  constructor(
    private readonly dependencies: AttemptDependencies,
    private readonly pool: ConnectionPool,
    private readonly connection: TargetConnection,
    private readonly target: Target,
    private readonly request: CallerRequest,
    private readonly body: RequestBody,
    response: ServerResponse,
    private readonly observer: AttemptObserver,
    private readonly resolve: (end: ExchangeEnd) => void,
  ) {
    const sent = { requestId: request.id, targetName: target.name };
    this.exchange = new Exchange(
      connection,
      sent,
      response,
      dependencies.protocol,
      dependencies.clock,
      request.pipeline,
      this,
    );
  }

  /** Monotonic time of the last byte in either direction, in milliseconds. */
  get progressAtMs(): number {
    return this.exchange.progressAtMs;
  }

  /** Sends the request; `remainingMs` is the time left until its deadline. */
  start(remainingMs: number): void {
    const { request } = this;
    this.silenceLimitMs = computeSilenceLimitMs(
      this.pool.latency.getSilenceLimitMs(),
      request.service.targetLatencyMs ?? 0,
      remainingMs,
    );
    this.timer = this.dependencies.clock.startTimer(remainingMs, () =>
      this.exchange.cancel('deadline'),
    );
    request.caller.addListener(this);
    this.observer.setCancel(() =>
      this.exchange.cancel(this.isSilenceRecorded ? 'silent' : 'superseded'),
    );
    this.dependencies.silenceDetector.add(this);
    const added = this.dependencies.protocol.listRequestHeaders(this.exchange.sent, remainingMs);
    const headers = request.headers.concat(added);
    const { path, method } = request;
    const options: Dispatcher.DispatchOptions = { path, method, headers, body: this.getBody() };
    this.connection.client.dispatch(options, this.exchange);
  }

  onNotice(notice: TargetNotice): void {
    this.dependencies.availability.recordNotice(this.target, notice);
  }

  onResponding(): void {
    this.observer.onResponding();
  }

  onExchangeEnd(end: ExchangeEnd): void {
    this.timer?.cancel();
    this.request.caller.removeListener(this);
    this.observer.setCancel(null);
    this.dependencies.silenceDetector.remove(this);
    if (end._tag === 'Answered') {
      this.pool.latency.record(end.latencyMs);
    }
    // A target that answered early still expects the rest of the body on this connection.
    this.pool.release(this.connection, isClean(end) && this.isUploaded());
    this.resolve(end);
  }

  onCallerDisconnected(): void {
    this.exchange.cancel('caller-gone');
  }

  /**
   * Handles silence on the connection: closes idle connections to the target that have not received anything
   * since. The exchange goes on, because the target may be working.
   */
  onSilent(): void {
    if (!this.exchange.isWritten() || this.exchange.isPaused() || !this.isUploaded()) {
      return;
    }
    if (!this.isSilenceRecorded) {
      this.isSilenceRecorded = true;
      this.dependencies.metrics.recordSilentConnection(
        this.pool.closeIdleUnconfirmed(this.progressAtMs),
      );
    }
    if (!this.exchange.hasHead()) {
      this.observer.onSilent();
    }
  }

  /** Returns false while the caller still sends its body, since the caller may then be the cause of the silence. */
  private isUploaded(): boolean {
    return this.body._tag !== 'Streamed' || this.body.stream.isPassedOn();
  }

  private getBody(): Dispatcher.DispatchOptions['body'] {
    const { body } = this;
    if (body._tag === 'Empty') {
      return null;
    }
    if (body._tag === 'Buffered') {
      return body.bytes;
    }
    body.stream.setListener({
      onProgress: () => this.exchange.recordProgress(),
      onTooLarge: () => this.exchange.cancel('body-too-large'),
    });
    return body.stream;
  }
}
