/**
 * A caller's request as the choice of a target sees it.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';
import type ChoiceRequest from '../ChoiceRequest.js';
import type CallerRequest from './CallerRequest.js';

/** Makes the caller's signal only when the choice asks for it. */
export default class ChoiceWish implements ChoiceRequest {
  readonly service: Service;

  readonly semantics: OperationSemantics;

  readonly plan: RoutePlan;

  readonly member: string;

  readonly deadlineAtMs: number;

  constructor(
    private readonly request: CallerRequest,
    readonly tried: readonly string[],
  ) {
    this.service = request.service;
    this.semantics = request.semantics;
    this.plan = request.plan;
    this.member = request.member;
    this.deadlineAtMs = request.deadlineAtMs;
  }

  get signal(): AbortSignal {
    return this.request.caller.signal;
  }
}
