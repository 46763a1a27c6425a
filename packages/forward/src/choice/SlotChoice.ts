/**
 * A chosen target, with its slot and its link bandwidth reserved.
 */
import type SlotPermit from '@burdockcove/types/SlotPermit';
import type Target from '@burdockcove/types/Target';
import type AttemptResult from '../AttemptResult.js';
import type Choice from '../Choice.js';
import type PickedTarget from './PickedTarget.js';

/** Passes on the first reported result only. */
export default class SlotChoice implements Choice {
  readonly target: Target;

  readonly region: string;

  readonly permit: SlotPermit;

  private isReported = false;

  constructor(
    picked: PickedTarget,
    private readonly onResult: (result: AttemptResult) => void,
  ) {
    this.target = picked.evaluation.target;
    this.region = picked.region;
    this.permit = picked.permit;
  }

  reportResult(result: AttemptResult): void {
    if (!this.isReported) {
      this.isReported = true;
      this.onResult(result);
    }
  }
}
