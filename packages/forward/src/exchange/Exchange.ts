/**
 * One exchange: writes a request to a target and streams the response to the caller.
 */
import type { ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type Clock from '@burdockcove/runtime/Clock';
import findHeadFault from '@burdockcove/runtime/findHeadFault';
import NO_NOTICE from '@burdockcove/targets/NO_NOTICE';
import type TargetProtocol from '@burdockcove/targets/TargetProtocol';
import type SentRequest from '@burdockcove/targets/SentRequest';
import type CallerPipeline from './CallerPipeline.js';
import type CancelCause from './CancelCause.js';
import ResponseForwarder from './ResponseForwarder.js';
import buildFailedEnd from './buildFailedEnd.js';
import type ExchangeEnd from './ExchangeEnd.js';
import type ExchangeListener from './ExchangeListener.js';
import ExchangeProgress from './ExchangeProgress.js';
import interpretHead from './interpretHead.js';
import type TargetConnection from './TargetConnection.js';

const FIRST_FINAL_STATUS = 200;
/** The body of a shed response is read up to this size, so that its connection can be reused. */
const MAX_SHED_BODY_BYTES = 16 * 1024;

/** Errors of undici for a request that it refuses to write. */
const REFUSED_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Handles undici's events and reports the end to its listener exactly once. */
export default class Exchange implements Dispatcher.DispatchHandler {
  private readonly progress: ExchangeProgress;

  private controller: Dispatcher.DispatchController | null = null;

  private cancelCause: CancelCause | null = null;

  private settled = false;

  /** The head of the final response, once it has arrived. */
  private head: ReturnType<typeof interpretHead> | null = null;

  private isFramed = true;

  private readonly forwarder: ResponseForwarder;

  private isRefused = false;

  constructor(
    readonly connection: TargetConnection,
    readonly sent: SentRequest,
    response: ServerResponse,
    private readonly protocol: TargetProtocol,
    clock: Clock,
    pipeline: CallerPipeline,
    private readonly owner: ExchangeListener,
  ) {
    this.forwarder = new ResponseForwarder(response, clock, pipeline, {
      onResponding: () => owner.onResponding(),
      onDrained: () => this.recordProgress(),
    });
    this.progress = new ExchangeProgress(clock);
  }

  /** Monotonic time of the last byte in either direction, in milliseconds. */
  get progressAtMs(): number {
    return this.progress.lastAtMs;
  }

  /** Whether the head of the response has arrived. */
  hasHead(): boolean {
    return this.head !== null;
  }

  /** Whether any part of the request may have been written. */
  isWritten(): boolean {
    return this.controller !== null;
  }

  /** Whether the response is paused until the caller reads. */
  isPaused(): boolean {
    return this.forwarder.isPaused();
  }

  /** Records that bytes were sent or received. */
  recordProgress(): void {
    this.progress.record();
  }

  /** Cancels the exchange and resets its connection. */
  cancel(cause: CancelCause): void {
    if (this.settled) {
      return;
    }
    this.cancelCause = cause;
    this.connection.reset();
    this.controller?.abort(new Error(cause));
    this.finishFailed(cause);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.settled || this.controller !== null) {
      // An exchange writes its request at most once.
      controller.abort(new Error('request was already written or given up'));
      return;
    }
    this.controller = controller;
    this.connection.expectHead();
    this.recordProgress();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Headers,
    statusMessage?: string,
  ): void {
    this.recordReceived();
    const fault = findHeadFault(status, headers);
    if (fault !== undefined) {
      controller.abort(new Error(fault));
      return;
    }
    if (status < FIRST_FINAL_STATUS || this.settled) {
      return;
    }
    this.connection.recordHead();
    this.progress.recordHead();
    const head = interpretHead(this.protocol, this.sent, status, headers);
    this.head = head;
    if (head.notice !== NO_NOTICE) {
      this.owner.onNotice(head.notice);
    }
    if (head.meaning === 'foreign') {
      controller.abort(new Error('the answer belongs to another request'));
    } else if (!head.isShed) {
      this.isFramed = this.forwarder.start(controller, status, headers, statusMessage);
      if (!this.isFramed) {
        this.connection.expectClose();
      }
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const received = this.progress.addBytes(chunk.length);
    if (this.settled) {
      return;
    }
    if (this.head?.isShed) {
      this.discardShedBody(controller, received);
    } else {
      this.forwarder.write(chunk);
    }
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    this.recordReceived();
    if (this.settled) {
      return;
    }
    if (this.head?.isShed) {
      this.finishShed();
      return;
    }
    if (this.isFramed) {
      this.forwarder.addTrailers(controller);
      this.finishWhole();
    } else {
      this.finishUnframed().catch((error: unknown) => this.finishFailed(String(error)));
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    if (this.head?.isShed && !this.settled) {
      // The head already states that the target did not run the request; only the connection failed.
      this.finishShed();
      return;
    }
    this.isRefused = REFUSED_CODES.has((error as NodeJS.ErrnoException).code ?? '');
    this.finishFailed(error.message);
  }

  /** Records that bytes were received from the target. */
  private recordReceived(): void {
    this.recordProgress();
    this.connection.confirmedAtMs = this.progressAtMs;
  }

  private async finishUnframed(): Promise<void> {
    const isWhole = await this.connection.wasClosedCleanly();
    if (isWhole && !this.settled) {
      this.finishWhole();
    } else {
      this.finishFailed('the connection was reset before the answer was whole');
    }
  }

  private finishWhole(): void {
    this.forwarder.finish();
    this.finish({ _tag: 'Answered', status: this.getStatus(), ...this.measure() });
  }

  private discardShedBody(controller: Dispatcher.DispatchController, received: number): void {
    if (received > MAX_SHED_BODY_BYTES) {
      controller.abort(new Error('body of a shed answer is too long'));
    }
  }

  /** Returns the status of the final response; zero if none has arrived. */
  private getStatus(): number {
    return this.head?.status ?? 0;
  }

  private measure(): Pick<ExchangeEnd, 'latencyMs' | 'receivedBytes' | 'load'> {
    const load = this.head?.load;
    return { ...this.progress.measure(), ...(load === undefined ? {} : { load }) };
  }

  private finishShed(): void {
    const isMisdirected = this.head?.meaning === 'misdirected';
    const status = this.getStatus();
    this.connection.recordRefused(this.sent.requestId);
    this.finish({ _tag: 'Shed', status, isMisdirected, ...this.measure() });
  }

  private finishFailed(detail: string): void {
    if (this.settled) {
      return;
    }
    const end = buildFailedEnd({
      isWritten: this.isWritten(),
      isRefused: this.isRefused,
      cancelCause: this.cancelCause,
      headSent: this.forwarder.isHeadSent(),
      status: this.getStatus(),
      detail,
      ...this.measure(),
    });
    this.finish(end);
  }

  private finish(end: ExchangeEnd): void {
    this.settled = true;
    this.forwarder.close();
    this.owner.onExchangeEnd(end);
  }
}
