/**
 * A measurement repeated at growing sizes.
 */

/** At least four sizes; `measure` returns a value in `unit`. */
interface SlopeMeasurement {
  /** Short name, unique; the capacity page refers to it. */
  readonly name: string;
  readonly summary: string;
  /** What the size counts: nodes, blocks, targets, domains. */
  readonly per: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  measure(size: number, seed: number): Promise<number>;
}

export default SlopeMeasurement;
