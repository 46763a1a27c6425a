/**
 * The properties of a request that the choice of a target depends on.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';

/** One attempt of one request. */
interface ChoiceRequest {
  /** Id of the request, for logs. */
  readonly id?: string;
  readonly service: Service;
  readonly semantics: OperationSemantics;
  readonly plan: RoutePlan;
  /** Priority of the request's customer, which takes precedence over the service's. */
  readonly priority?: number | undefined;
  /** The Member that the request counts for in fair queuing. */
  readonly member: string;
  /** Requests with the same key concern the same object; absent if the object is unknown. */
  readonly affinityKey?: string | undefined;
  /** Monotonic time in milliseconds at which the caller first sent the request; an estimate if the caller retried. */
  readonly firstRequestedAtMs: number;
  /** Monotonic time in milliseconds at which the caller's deadline expires. */
  readonly deadlineAtMs: number;
  /** Names of the targets of earlier attempts. */
  readonly tried: readonly string[];
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

export default ChoiceRequest;
