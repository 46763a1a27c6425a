/**
 * A caller's request, checked and ready to be forwarded.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';
import type CallerState from './CallerState.js';

/** `headers` are those sent to targets, flat name and value pairs, without the deadline. */
interface CallerRequest {
  readonly id: string;
  /** Revision of the configuration that decided. */
  readonly revision: number;
  readonly service: Service;
  readonly semantics: OperationSemantics;
  readonly plan: RoutePlan;
  /** Whom fair sharing counts the request for. */
  readonly member: string;
  /** Requests with the same key concern the same object; absent: unknown. */
  readonly affinityKey: string | undefined;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: readonly string[];
  /** Monotonic time at which the caller first asked, as far as known, in milliseconds. */
  readonly firstRequestedAtMs: number;
  /** Monotonic time at which the request was received, in milliseconds. */
  readonly receivedAtMs: number;
  /** Monotonic time at which the deadline ends, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly caller: CallerState;
}

export default CallerRequest;
