/**
 * A target with its slot taken.
 */
import type SlotPermit from '@burdockcove/types/SlotPermit';
import type TargetVerdict from './TargetVerdict.js';

/** `reservedBytes` are held on the link from the region; zero inside this VM's own region. */
interface PickedTarget {
  readonly verdict: TargetVerdict;
  readonly region: string;
  readonly permit: SlotPermit;
  readonly reservedBytes: number;
}

export default PickedTarget;
