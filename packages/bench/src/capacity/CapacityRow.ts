/**
 * One cell of the capacity page.
 */

/** `value` is what the slopes give at the target size, in `unit`. */
interface CapacityRow {
  readonly role: string;
  readonly what: string;
  /** Names of the slopes it rests on. */
  readonly slopes: readonly string[];
  /** How the value comes from the slopes, in words. */
  readonly formula: string;
  readonly value: number;
  readonly unit: string;
  /** The stated limit, in the same unit. */
  readonly limit?: number;
  /** What carries it today, and where that ends. */
  readonly mechanism: string;
}

export default CapacityRow;
