/**
 * A figure before the bench's name and seed are added.
 */

/** `holds` judges the value and the ratio against the stated target. */
interface FigureDraft {
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  readonly baseline?: number;
  readonly target?: string;
  readonly holds?: (value: number, ratio: number | null) => boolean;
}

export default FigureDraft;
