/**
 * Plans a request: builds the input of the forwarder from the head of the request.
 */
import type { IncomingMessage } from 'node:http';
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isNone } from 'fp-ts/lib/Option.js';
import type Customer from '@burdockcove/types/Customer';
import type KeyRule from '@burdockcove/types/KeyRule';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Service from '@burdockcove/types/Service';
import type Steering from '@burdockcove/types/Steering';
import type CallerPipeline from '../exchange/CallerPipeline.js';
import type CallerState from '../exchange/CallerState.js';
import type CallerRequest from '../exchange/CallerRequest.js';
import limitKey from '../limitKey.js';
import makeNotRun from '../makeNotRun.js';
import CallerWaitEstimator from './CallerWaitEstimator.js';
import type CallerProtocol from './CallerProtocol.js';
import type Deadline from './Deadline.js';
import KeyCheck from './KeyCheck.js';
import type KeyLimits from './KeyLimits.js';
import NO_KEY_LIMITS from './NO_KEY_LIMITS.js';
import parseDeadline from './parseDeadline.js';
import type RequestHead from './RequestHead.js';
import setCustomerHeaders from './setCustomerHeaders.js';
import type SteeringSource from './SteeringSource.js';

const STEP = 'door';

/** A request as it was received. */
interface ReceivedRequest {
  readonly message: IncomingMessage;
  readonly head: RequestHead;
  /** IP address of the caller. */
  readonly peer: string;
  readonly caller: CallerState;
  readonly pipeline: CallerPipeline;
  /** Monotonic time of the receipt, in milliseconds. */
  readonly receivedAtMs: number;
}

function getMember({ memberHeader }: Service, message: IncomingMessage): string | undefined {
  const name = memberHeader?.toLowerCase();
  return name === undefined ? undefined : (message.headers[name] as string | undefined);
}

function findService(
  steering: Steering,
  { message, peer }: ReceivedRequest,
): Either<RequestFailure, Service> {
  const found = steering.findService(message.headers.host ?? '', message.url as string);
  return isNone(found)
    ? left(makeNotRun('unknown-service', STEP, peer, 'no service matches host and path'))
    : right(found.value);
}

/** What the configuration says of a request. */
interface Admission {
  readonly steering: Steering;
  readonly service: Service;
  readonly keyRule: KeyRule;
  readonly customer: Customer | undefined;
}

/** Finds the service, checks the key, limits and deadline, and plans the route. */
export default class RequestPlanner {
  private readonly waitEstimator = new CallerWaitEstimator();

  private readonly keyCheck: KeyCheck;

  private serial = 0;

  constructor(
    private readonly steering: SteeringSource,
    private readonly protocol: CallerProtocol,
    keyLimits: KeyLimits = NO_KEY_LIMITS,
  ) {
    this.keyCheck = new KeyCheck(protocol, keyLimits);
  }

  planRequest(arrival: ReceivedRequest): Either<RequestFailure, CallerRequest> {
    const { peer } = arrival;
    const current = this.steering.getCurrent();
    if (isNone(current)) {
      return left(makeNotRun('not-ready', STEP, peer, 'no configuration has arrived yet'));
    }
    const admission = this.admit(arrival, current.value);
    if (isLeft(admission)) {
      return admission;
    }
    const deadline = this.checkLimits(arrival, admission.right.service);
    return isLeft(deadline)
      ? deadline
      : right(this.buildRequest(arrival, admission.right, deadline.right));
  }

  private admit(arrival: ReceivedRequest, steering: Steering): Either<RequestFailure, Admission> {
    const { message, peer } = arrival;
    const found = findService(steering, arrival);
    if (isLeft(found)) {
      return found;
    }
    const service = found.right;
    const keyRule = steering.getKeyRule(service, message.url as string);
    const customer = this.keyCheck.checkKey(keyRule, steering, message.headers, peer);
    return isLeft(customer)
      ? customer
      : right({ steering, service, keyRule, customer: customer.right });
  }

  private checkLimits(
    { message, head, peer }: ReceivedRequest,
    { maxBodyBytes = Infinity, deadlineMs }: Service,
  ): Either<RequestFailure, Deadline> {
    if (Number(message.headers['content-length'] ?? 0) > maxBodyBytes) {
      const detail = `the body exceeds ${maxBodyBytes} bytes`;
      return left(makeNotRun('body-too-large', STEP, peer, detail));
    }
    const deadline = parseDeadline(head.deadlines, deadlineMs, this.protocol.deadlineHeader);
    return isLeft(deadline) ? left(makeNotRun('malformed', STEP, peer, deadline.left)) : deadline;
  }

  private buildRequest(
    { message, head, peer, caller, pipeline, receivedAtMs }: ReceivedRequest,
    { steering, service, keyRule, customer }: Admission,
    { callerTimeoutMs, deadlineMs }: Deadline,
  ): CallerRequest {
    const method = message.method as string;
    const path = message.url as string;
    const sentKey = this.protocol.readAffinityKey(message.headers);
    const affinityKey = sentKey === undefined ? undefined : limitKey(sentKey);
    this.serial += 1;
    return {
      id: this.protocol.readRequestId(message.headers) ?? this.serial.toString(36),
      revision: steering.revision,
      service,
      customer,
      semantics: steering.getSemantics(service, method, path),
      plan: steering.planRoute(service, peer, affinityKey, customer),
      member: customer?.name ?? getMember(service, message) ?? peer,
      affinityKey,
      method,
      path,
      headers:
        keyRule === 'none'
          ? head.headers
          : setCustomerHeaders(head.headers, this.protocol, customer),
      firstRequestedAtMs:
        receivedAtMs - this.waitEstimator.estimateWaitedMs(service.name, callerTimeoutMs),
      receivedAtMs,
      deadlineAtMs: receivedAtMs + deadlineMs,
      caller,
      pipeline,
    };
  }
}
