/**
 * What a change of weights would set in motion.
 */

/** The shift takes at least `minSeconds`; it waits longer where a step is not yet proven harmless. */
interface ShiftPreview {
  readonly selector: string;
  /** Share of the selector's traffic that moves in all, 0 to 1. */
  readonly moved: number;
  readonly cap: number;
  readonly windowSeconds: number;
  readonly steps: number;
  readonly minSeconds: number;
}

export default ShiftPreview;
