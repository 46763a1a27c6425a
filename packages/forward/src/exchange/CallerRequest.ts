/**
 * A validated request of a caller, ready to be forwarded.
 */
import type Customer from '@burdockcove/types/Customer';
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';
import type CallerPipeline from './CallerPipeline.js';
import type CallerState from './CallerState.js';

/** `headers` are flat name and value pairs for targets, without the deadline. */
interface CallerRequest {
  readonly id: string;
  /** Revision of the configuration that the request was planned with. */
  readonly revision: number;
  readonly service: Service;
  readonly semantics: OperationSemantics;
  readonly plan: RoutePlan;
  /** The customer whose key the request carries; absent where none is needed. */
  readonly customer?: Customer | undefined;
  /** Member for which fair queueing counts the request: the customer, if any. */
  readonly member: string;
  /** Key of the object that the request concerns; undefined if unknown. */
  readonly affinityKey: string | undefined;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: readonly string[];
  /** Monotonic time in milliseconds at which the caller first sent the request, as far as known. */
  readonly firstRequestedAtMs: number;
  /** Monotonic time at which the request was received, in milliseconds. */
  readonly receivedAtMs: number;
  /** Monotonic time at which the deadline ends, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly caller: CallerState;
  /** The requests on the caller's connection. */
  readonly pipeline: CallerPipeline;
}

export default CallerRequest;
