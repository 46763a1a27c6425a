/**
 * The `ChoiceRequest` of a caller's request.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';
import type ChoiceRequest from '../ChoiceRequest.js';
import type CallerRequest from './CallerRequest.js';

/** Created once for each request; `tried` grows with each attempt. */
export default class CallerChoiceRequest implements ChoiceRequest {
  readonly service: Service;

  readonly semantics: OperationSemantics;

  readonly plan: RoutePlan;

  readonly priority: number | undefined;

  readonly member: string;

  readonly affinityKey: string | undefined;

  readonly id: string;

  readonly firstRequestedAtMs: number;

  readonly deadlineAtMs: number;

  readonly signal: AbortSignal;

  constructor(
    request: CallerRequest,
    readonly tried: readonly string[],
  ) {
    this.service = request.service;
    this.semantics = request.semantics;
    this.plan = request.plan;
    this.priority = request.customer?.priority;
    this.member = request.member;
    this.affinityKey = request.affinityKey;
    this.id = request.id;
    this.firstRequestedAtMs = request.firstRequestedAtMs;
    this.deadlineAtMs = request.deadlineAtMs;
    this.signal = request.caller.signal;
  }
}
