/**
 * Whether the next step of a shift may be taken.
 */
import type Membership from '@burdockcove/types/Membership';
import type Selector from '@burdockcove/types/Selector';
import type Clock from '@burdockcove/runtime/Clock';
import type ShareTiming from '../ShareTiming.js';
import type ShareTransport from '../ShareTransport.js';
import computeWaitMs from '../computeWaitMs.js';
import ShiftConfirmations from './ShiftConfirmations.js';
import type StepEvidence from './StepEvidence.js';

/** A shift that makes no step for this many windows is held. */
const STUCK_WINDOWS = 10;
const MS_PER_SECOND = 1_000;

/** `Step` and `Hold` change the record; `Wait` does not. */
type Verdict =
  | { readonly _tag: 'Step'; readonly detail: string }
  | { readonly _tag: 'Hold'; readonly detail: string }
  | { readonly _tag: 'Wait'; readonly detail: string };

/**
 * Waits until every listed entry VM applied the record, then a whole window, then looks at what the
 * step did, then asks every entry VM once more, so that none that restarted meanwhile is behind.
 */
export default class ShiftProgress {
  private readonly sinceMs: number;

  private readonly confirmations: ShiftConfirmations;

  constructor(
    private readonly clock: Clock,
    private readonly timing: ShareTiming,
    private readonly membership: Membership,
    transport: ShareTransport,
    private readonly evidence: StepEvidence,
    selector: string,
    readonly revision: number,
  ) {
    this.sinceMs = clock.getMonotonicMs();
    this.confirmations = new ShiftConfirmations(clock, transport, selector, revision);
  }

  async judge(selector: Selector): Promise<Verdict> {
    const windowMs = selector.shift.windowSeconds * MS_PER_SECOND;
    const verdict = await this.judgeStep(selector.name, windowMs);
    const waitedMs = this.clock.getMonotonicMs() - this.sinceMs;
    return verdict._tag === 'Wait' && waitedMs > windowMs * STUCK_WINDOWS
      ? { _tag: 'Hold', detail: `no step for ${STUCK_WINDOWS} windows: ${verdict.detail}` }
      : verdict;
  }

  private async judgeStep(selector: string, windowMs: number): Promise<Verdict> {
    await this.confirmations.askMembers(
      this.confirmations.listUnconfirmed(this.membership.getMembers()),
    );
    const confirmedAtMs = this.getConfirmedAtMs();
    if (confirmedAtMs === undefined) {
      return this.describeWait();
    }
    if (!this.isWindowOver(confirmedAtMs, windowMs)) {
      return { _tag: 'Wait', detail: 'the window of the last step is not over' };
    }
    const judgement = await this.evidence.judgeStep(selector, confirmedAtMs);
    if (judgement._tag !== 'Clear') {
      const tag = judgement._tag === 'NearLimit' ? 'Hold' : 'Wait';
      return { _tag: tag, detail: judgement.detail };
    }
    return this.judgeAgain(windowMs, judgement.detail);
  }

  private async judgeAgain(windowMs: number, detail: string): Promise<Verdict> {
    await this.confirmations.askMembers(this.membership.getMembers());
    const confirmedAtMs = this.getConfirmedAtMs();
    if (confirmedAtMs === undefined || !this.isWindowOver(confirmedAtMs, windowMs)) {
      return this.describeWait();
    }
    return { _tag: 'Step', detail };
  }

  private getConfirmedAtMs(): number | undefined {
    return this.confirmations.getConfirmedAtMs(this.membership.getMembers());
  }

  private isWindowOver(confirmedAtMs: number, windowMs: number): boolean {
    const waitMs = computeWaitMs(windowMs, this.timing);
    return this.clock.getMonotonicMs() - confirmedAtMs >= waitMs;
  }

  private describeWait(): Verdict {
    const silent = this.confirmations.listUnconfirmed(this.membership.getMembers());
    const names = silent.slice(0, 3).map((member) => member.address);
    return {
      _tag: 'Wait',
      detail: `${silent.length} entry VMs have not confirmed, among them ${names.join(', ')}`,
    };
  }
}
