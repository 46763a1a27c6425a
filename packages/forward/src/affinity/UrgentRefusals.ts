/**
 * The priorities of the requests that lately could not end in time: refused for it, or timed out at a target.
 *
 * Queues at the targets that are short enough for small work can be too long for large work. While that holds for
 * urgent requests, less urgent ones get only slots that no other request waits for.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type ChoiceRequest from '../ChoiceRequest.js';
import getPriority from '../getPriority.js';

/** Time for which less urgent requests give way: about that in which the queues at the targets get shorter. */
const YIELD_MS = 1000;

interface Refusal {
  readonly priority: number;
  readonly atMs: number;
}

/** Keeps the most urgent priority for each target service. */
export default class UrgentRefusals {
  private readonly refusals = new Map<string, Refusal>();

  constructor(private readonly clock: Clock) {}

  record(request: ChoiceRequest): void {
    if (!this.mustYield(request)) {
      const atMs = this.clock.getMonotonicMs();
      this.refusals.set(request.plan.targetService, { priority: getPriority(request), atMs });
    }
  }

  /** Whether this request has to leave the scarce slots to more urgent ones. */
  mustYield(request: ChoiceRequest): boolean {
    const known = this.refusals.get(request.plan.targetService);
    return (
      known !== undefined &&
      known.priority < getPriority(request) &&
      this.clock.getMonotonicMs() - known.atMs < YIELD_MS
    );
  }
}
