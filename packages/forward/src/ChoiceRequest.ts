/**
 * What the choice of a target needs to know of a request.
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
  /** Whom fair sharing counts the request for. */
  readonly member: string;
  /** Requests with the same key concern the same object; absent: unknown. */
  readonly affinityKey?: string | undefined;
  /** Monotonic time at which the caller first asked, as far as known, in milliseconds. */
  readonly askedAtMs: number;
  /** Monotonic time at which the caller's deadline ends, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Names of targets that earlier attempts went to. */
  readonly tried: readonly string[];
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
}

export default ChoiceRequest;
