/**
 * The least urgent priorities of requests, by which urgent requests are told apart.
 */
import type ChoiceRequest from '../ChoiceRequest.js';
import getPriority from '../getPriority.js';

/** Number of requests by which urgent requests may exceed a target's concurrency limit. */
const URGENT_EXTRA_REQUESTS = 1;

/** Keeps the largest priority number, which is the least urgent, for each target service. */
export default class LowestPriorities {
  private readonly priorities = new Map<string, number>();

  record(request: ChoiceRequest): void {
    const { targetService } = request.plan;
    const lowest = this.priorities.get(targetService) ?? 0;
    this.priorities.set(targetService, Math.max(getPriority(request), lowest));
  }

  /** Returns the number of requests by which the request may exceed a limit: more than 0 if less urgent ones were seen. */
  getExtraRequests(request: ChoiceRequest): number {
    const lowest = this.priorities.get(request.plan.targetService) ?? 0;
    return getPriority(request) < lowest ? URGENT_EXTRA_REQUESTS : 0;
  }
}
