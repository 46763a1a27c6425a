/**
 * A target chosen, with its slot and its bandwidth held.
 */
import type SlotPermit from '@burdockcove/types/SlotPermit';
import type Target from '@burdockcove/types/Target';
import type AttemptResult from '../AttemptResult.js';
import type Choice from '../Choice.js';
import type PickedTarget from './PickedTarget.js';

/** Passes on the first result reported. */
export default class SlotChoice implements Choice {
  readonly target: Target;

  readonly region: string;

  readonly permit: SlotPermit;

  private reported = false;

  constructor(
    picked: PickedTarget,
    private readonly onResult: (result: AttemptResult) => void,
  ) {
    this.target = picked.verdict.target;
    this.region = picked.region;
    this.permit = picked.permit;
  }

  reportResult(result: AttemptResult): void {
    if (!this.reported) {
      this.reported = true;
      this.onResult(result);
    }
  }
}
