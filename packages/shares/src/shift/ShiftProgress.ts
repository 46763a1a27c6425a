/**
 * Decides whether a shift may take its next step.
 */
import type Membership from '@burdockcove/types/Membership';
import type Selector from '@burdockcove/types/Selector';
import type Clock from '@burdockcove/runtime/Clock';
import type ShareTiming from '../ShareTiming.js';
import type ShareTransport from '../ShareTransport.js';
import computeDriftSafeWaitMs from '../computeDriftSafeWaitMs.js';
import ShiftConfirmations from './ShiftConfirmations.js';
import type StepEvaluator from './StepEvaluator.js';

/** A shift that takes no step for this many windows is held. */
const MAX_WAIT_WINDOWS = 10;
const MS_PER_SECOND = 1_000;

/** `Step` and `Hold` change the record; `Wait` does not. */
type StepDecision =
  | { readonly _tag: 'Step'; readonly detail: string }
  | { readonly _tag: 'Hold'; readonly detail: string }
  | { readonly _tag: 'Wait'; readonly detail: string };

/**
 * Waits until every listed entry VM has applied the record and a whole window has passed, then
 * evaluates the effect of the step. Finally polls every entry VM again, so that a VM that restarted
 * in the meantime is not behind.
 */
export default class ShiftProgress {
  private readonly startedAtMs: number;

  private readonly confirmations: ShiftConfirmations;

  constructor(
    private readonly clock: Clock,
    private readonly timing: ShareTiming,
    private readonly membership: Membership,
    transport: ShareTransport,
    private readonly evaluator: StepEvaluator,
    selector: string,
    readonly revision: number,
  ) {
    this.startedAtMs = clock.getMonotonicMs();
    this.confirmations = new ShiftConfirmations(clock, transport, selector, revision);
  }

  async decide(selector: Selector): Promise<StepDecision> {
    const windowMs = selector.shift.windowSeconds * MS_PER_SECOND;
    const decision = await this.decideStep(selector.name, windowMs);
    const waitedMs = this.clock.getMonotonicMs() - this.startedAtMs;
    return decision._tag === 'Wait' && waitedMs > windowMs * MAX_WAIT_WINDOWS
      ? { _tag: 'Hold', detail: `no step for ${MAX_WAIT_WINDOWS} windows: ${decision.detail}` }
      : decision;
  }

  private async decideStep(selector: string, windowMs: number): Promise<StepDecision> {
    await this.confirmations.pollMembers(
      this.confirmations.listUnconfirmed(this.membership.getMembers()),
    );
    const confirmedAtMs = this.getConfirmedAtMs();
    if (confirmedAtMs === undefined) {
      return this.buildWaitDecision();
    }
    if (!this.isWindowOver(confirmedAtMs, windowMs)) {
      return { _tag: 'Wait', detail: 'the window of the last step is not over' };
    }
    const evaluation = await this.evaluator.evaluateStep(selector, confirmedAtMs);
    if (evaluation._tag !== 'Clear') {
      const tag = evaluation._tag === 'NearLimit' ? 'Hold' : 'Wait';
      return { _tag: tag, detail: evaluation.detail };
    }
    return this.reconfirmStep(windowMs, evaluation.detail);
  }

  private async reconfirmStep(windowMs: number, detail: string): Promise<StepDecision> {
    await this.confirmations.pollMembers(this.membership.getMembers());
    const confirmedAtMs = this.getConfirmedAtMs();
    if (confirmedAtMs === undefined || !this.isWindowOver(confirmedAtMs, windowMs)) {
      return this.buildWaitDecision();
    }
    return { _tag: 'Step', detail };
  }

  private getConfirmedAtMs(): number | undefined {
    return this.confirmations.getConfirmedAtMs(this.membership.getMembers());
  }

  private isWindowOver(confirmedAtMs: number, windowMs: number): boolean {
    const waitMs = computeDriftSafeWaitMs(windowMs, this.timing);
    return this.clock.getMonotonicMs() - confirmedAtMs >= waitMs;
  }

  private buildWaitDecision(): StepDecision {
    const unconfirmed = this.confirmations.listUnconfirmed(this.membership.getMembers());
    const names = unconfirmed.slice(0, 3).map((member) => member.address);
    return {
      _tag: 'Wait',
      detail: `${unconfirmed.length} entry VMs have not confirmed, among them ${names.join(', ')}`,
    };
  }
}
