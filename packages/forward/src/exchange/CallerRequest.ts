/**
 * A caller's request, checked and ready to be forwarded.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';
import type RequestBody from './RequestBody.js';

/** `headers` are those sent to targets, flat name and value pairs, without the deadline. */
interface CallerRequest {
  readonly id: string;
  readonly service: Service;
  readonly semantics: OperationSemantics;
  readonly plan: RoutePlan;
  /** Whom fair sharing counts the request for. */
  readonly member: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: RequestBody;
  /** Monotonic time at which the request was received, in milliseconds. */
  readonly receivedAtMs: number;
  /** Monotonic time at which the deadline ends, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
}

export default CallerRequest;
