/**
 * One measured figure.
 */

/** Printed as one JSON line. */
interface Figure {
  readonly bench: string;
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** The baseline's value in the same run, or null where there is none. */
  readonly baseline: number | null;
  /** `value` divided by `baseline`. */
  readonly ratio: number | null;
  /** The stated target in words, empty where none is stated. */
  readonly target: string;
  /** Whether the target was met; null where none is stated. */
  readonly holds: boolean | null;
  readonly seed: number;
}

export default Figure;
