/**
 * Handles callers' requests up to the forwarder.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { isLeft, isRight, left, type Either } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import watchAbort from '@burdockcove/runtime/watchAbort';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import QuotaAdmission from '../admission/QuotaAdmission.js';
import makeStopRefusal from '../drain/makeStopRefusal.js';
import type StopState from '../drain/StopState.js';
import CallerPipeline from '../exchange/CallerPipeline.js';
import CallerState from '../exchange/CallerState.js';
import type CallerRequest from '../exchange/CallerRequest.js';
import ReadAheadBudget from '../exchange/ReadAheadBudget.js';
import type Forwarder from '../exchange/Forwarder.js';
import type RequestBody from '../exchange/RequestBody.js';
import sendProblem from '../exchange/sendProblem.js';
import type ForwardMetrics from '../ForwardMetrics.js';
import makeNotRun from '../makeNotRun.js';
import checkHead from './checkHead.js';
import handleEntriesRequest from './handleEntriesRequest.js';
import type CallerProtocol from './CallerProtocol.js';
import ConnectionSignals from './ConnectionSignals.js';
import type EntriesHandler from './EntriesHandler.js';
import DefaultCallerProtocol from './DefaultCallerProtocol.js';
import type CallerAdmission from './CallerAdmission.js';
import hasBody from './hasBody.js';
import readBody from './readBody.js';
import parseRequestHead from './parseRequestHead.js';
import RefusalLog from './RefusalLog.js';
import type RequestHead from './RequestHead.js';
import RequestPlanner from './RequestPlanner.js';
import type SteeringSource from './SteeringSource.js';

const STEP = 'door';
const ENTRIES_PATH = '/_burdockcove/entries';
const INTERNAL_PREFIX = '/_burdockcove/';
const NOT_FOUND_STATUS = 404;
const IPV4_MAPPED = '::ffff:';

/** Memory of all bodies that are read ahead of their targets. */
const MAX_READ_AHEAD_BYTES = 8 * 1024 * 1024;

/** Memory of all responses that are held back since others wait behind them. */
const MAX_HELD_BACK_BYTES = 8 * 1024 * 1024;

const DONE = Promise.resolve();
const EMPTY_BODY: RequestBody = { _tag: 'Empty' };

function getClientAddress(message: IncomingMessage): string {
  const address = message.socket.remoteAddress ?? '';
  return address.startsWith(IPV4_MAPPED) ? address.slice(IPV4_MAPPED.length) : address;
}

/** Validates each request and passes it to the forwarder or to the look-up of entry VMs. */
export default class CallerHandler {
  private readonly signals = new ConnectionSignals();

  /** Connections that close after the response in progress. */
  private readonly closing = new WeakSet<object>();

  private readonly planner: RequestPlanner;

  private readonly quotas: QuotaAdmission;

  private readonly refusalLog: RefusalLog;

  private readonly readAhead = new ReadAheadBudget(MAX_READ_AHEAD_BYTES);

  private readonly heldBack = new ReadAheadBudget(MAX_HELD_BACK_BYTES);

  private readonly pipelines = new WeakMap<object, CallerPipeline>();

  private inFlight = 0;

  private lastRequestMs = 0;

  constructor(
    steering: SteeringSource,
    private readonly entries: EntriesHandler,
    private readonly forwarder: Forwarder,
    private readonly stop: StopState,
    private readonly clock: Clock,
    private readonly metrics: ForwardMetrics,
    private readonly protocol: CallerProtocol = new DefaultCallerProtocol(),
    { keyLimits, quotaGate, logger }: CallerAdmission = {},
  ) {
    this.quotas = new QuotaAdmission(quotaGate);
    this.refusalLog = new RefusalLog(logger);
    this.planner = new RequestPlanner(steering, protocol, keyLimits);
    metrics.watchInFlight(() => this.inFlight);
  }

  /** Returns the number of requests in flight. */
  countInFlight(): number {
    return this.inFlight;
  }

  /** Returns the monotonic time of the last request, in milliseconds. */
  getLastRequestMs(): number {
    return this.lastRequestMs;
  }

  /** Handles one request; resolves when its handling is complete. */
  handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    this.lastRequestMs = this.clock.getMonotonicMs();
    this.inFlight += 1;
    const caller = this.watchCaller(message, response);
    const pipeline = this.enterPipeline(message, response);
    const peer = getClientAddress(message);
    if (this.closing.has(message.socket)) {
      // The connection closes after an earlier response; the caller retries this request on another connection.
      return DONE;
    }
    if (this.stop.isLeaving()) {
      response.setHeader('Connection', 'close');
      this.closing.add(message.socket);
    }
    const head = parseRequestHead(message, peer, this.protocol.deadlineHeader);
    const fault = checkHead(message, head);
    if (fault !== '') {
      return this.sendRefusal(response, makeNotRun('malformed', STEP, peer, fault));
    }
    if (message.url?.startsWith(INTERNAL_PREFIX)) {
      this.handleInternalRequest(message, response, message.url, peer);
      return DONE;
    }
    const request = this.planRequest(message, head, peer, caller, pipeline);
    if (isLeft(request)) {
      const requestId = this.protocol.readRequestId(message.headers);
      const receivedAtMs = this.lastRequestMs;
      this.refusalLog.logKeyRefusal(request.left, { requestId, receivedAtMs }, receivedAtMs);
      return this.sendRefusal(response, request.left);
    }
    return this.forwardIfConnected(message, request.right, response);
  }

  /**
   * Forwards the request unless its caller has already left, as many have when this VM reads their requests late. The
   * forwarder then only records that the caller is gone.
   */
  private async forwardIfConnected(
    message: IncomingMessage,
    request: CallerRequest,
    response: ServerResponse,
  ): Promise<void> {
    await request.caller.refresh(this.clock);
    const { pipeline, caller, deadlineAtMs } = request;
    if (pipeline.isBehindPart(response)) {
      const leftMs = deadlineAtMs - this.clock.getMonotonicMs();
      await pipeline.waitForTurn(response, this.clock, leftMs, caller.signal);
    }
    const forwarded = await this.quotas.runWithinQuota(request, () =>
      hasBody(message) && !request.caller.isDisconnected()
        ? this.forwardWithBody(message, request, response)
        : this.forwarder.forwardRequest(request, EMPTY_BODY, response),
    );
    if (isLeft(forwarded)) {
      const { id: requestId, service, semantics, customer, receivedAtMs } = request;
      const refused = {
        requestId,
        service: service.name,
        semantics,
        customer: customer?.name,
        receivedAtMs,
      };
      this.refusalLog.logQuotaRefusal(forwarded.left, refused, this.clock.getMonotonicMs());
      await this.sendRefusal(response, forwarded.left);
    }
  }

  /** Returns the requests on the connection, the given one being the latest. */
  private enterPipeline(message: IncomingMessage, response: ServerResponse): CallerPipeline {
    const { socket } = message;
    const pipeline = this.pipelines.get(socket) ?? new CallerPipeline(this.heldBack);
    this.pipelines.set(socket, pipeline);
    pipeline.enter(response);
    response.on('close', () => pipeline.leave(response));
    return pipeline;
  }

  /**
   * Detects that the caller disconnects. A response that is queued behind others on its connection gets no event of
   * its own, so the connection's signal is used as well.
   */
  private watchCaller(message: IncomingMessage, response: ServerResponse): CallerState {
    const signal = this.signals.getSignal(message.socket);
    const caller = new CallerState(signal);
    const watch = { isOpen: true, end: (): void => undefined };
    const close = (): void => {
      if (!watch.isOpen) {
        return;
      }
      watch.isOpen = false;
      this.inFlight -= 1;
      watch.end();
      if (!response.writableFinished) {
        caller.markDisconnected();
      }
    };
    watch.end = watchAbort(signal, close);
    response.on('close', close);
    return caller;
  }

  private handleInternalRequest(
    message: IncomingMessage,
    response: ServerResponse,
    url: string,
    peer: string,
  ): void {
    const [path, query] = url.split('?', 2);
    if (path === ENTRIES_PATH) {
      handleEntriesRequest(this.entries, message, response, query ?? '', peer);
      this.metrics.recordLookup(response.statusCode);
      return;
    }
    const failure = makeNotRun('malformed', STEP, peer, 'no such path');
    sendProblem(response, failure, NOT_FOUND_STATUS);
  }

  /** Resolves with whether a target may have run the request. */
  private async forwardWithBody(
    message: IncomingMessage,
    request: CallerRequest,
    response: ServerResponse,
  ): Promise<boolean> {
    const { deadlineAtMs, service } = request;
    const limits = {
      maxBytes: service.maxBodyBytes ?? Infinity,
      remainingMs: deadlineAtMs - this.clock.getMonotonicMs(),
    };
    const body = await readBody(message, this.clock, limits, this.readAhead);
    if (isRight(body)) {
      return this.forwarder.forwardRequest(request, body.right, response);
    }
    // A caller that truncated its body has disconnected, so no response is sent.
    if (body.left !== 'truncated') {
      await this.refuseBody(body.left, request, response);
    }
    return false;
  }

  private refuseBody(
    fault: 'too-late' | 'too-large',
    { member: peer, service }: CallerRequest,
    response: ServerResponse,
  ): Promise<void> {
    response.setHeader('Connection', 'close');
    return this.sendRefusal(
      response,
      fault === 'too-late'
        ? makeNotRun('deadline', STEP, peer, 'the body did not arrive before the deadline')
        : makeNotRun(
            'body-too-large',
            STEP,
            peer,
            `the body exceeds ${service.maxBodyBytes} bytes`,
          ),
    );
  }

  private planRequest(
    message: IncomingMessage,
    head: RequestHead,
    peer: string,
    caller: CallerState,
    pipeline: CallerPipeline,
  ): Either<RequestFailure, CallerRequest> {
    if (this.stop.getPhase() === 'refusing') {
      return left(makeStopRefusal(STEP, peer, 'this entry VM is stopping'));
    }
    return this.planner.planRequest({
      message,
      head,
      peer,
      caller,
      pipeline,
      receivedAtMs: this.lastRequestMs,
    });
  }

  private sendRefusal(response: ServerResponse, failure: RequestFailure): Promise<void> {
    if (failure._tag === 'NotRun') {
      this.metrics.recordRefusal(failure.reason);
    }
    sendProblem(response, failure);
    return DONE;
  }
}
