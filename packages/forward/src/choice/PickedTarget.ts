/**
 * A target whose slot has been taken for a request.
 */
import type SlotPermit from '@burdockcove/types/SlotPermit';
import type TargetEvaluation from './TargetEvaluation.js';

/** `reservedBytes` are reserved on the link from the region; zero for this VM's own region. */
interface PickedTarget {
  readonly evaluation: TargetEvaluation;
  readonly region: string;
  readonly permit: SlotPermit;
  readonly reservedBytes: number;
}

export default PickedTarget;
