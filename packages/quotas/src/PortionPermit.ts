/**
 * One request taken from a portion.
 */
import type QuotaPermit from '@burdockcove/forward/admission/QuotaPermit';
import type Portion from './Portion.js';

/** What is given back can be used again as long as the portion is valid. */
export default class PortionPermit implements QuotaPermit {
  private isHeld = true;

  constructor(private readonly portion: Portion) {}

  giveBack(): void {
    if (this.isHeld) {
      this.isHeld = false;
      this.portion.left += 1;
    }
  }
}
