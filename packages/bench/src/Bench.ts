/**
 * A measurement that can be run by name.
 */
import type FigureDraft from './FigureDraft.js';

/** Runs itself and its baselines in one run. */
interface Bench {
  readonly name: string;
  readonly summary: string;
  run(seed: number): Promise<readonly FigureDraft[]>;
}

export default Bench;
