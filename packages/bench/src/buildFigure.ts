/**
 * Completion of figures.
 */
import type Figure from './Figure.js';
import type FigureDraft from './FigureDraft.js';

/** Adds the bench's name, the seed, the ratio and the judgement. */
export default function buildFigure(bench: string, seed: number, draft: FigureDraft): Figure {
  const baseline = draft.baseline ?? null;
  const ratio = baseline === null || baseline === 0 ? null : draft.value / baseline;
  return {
    bench,
    figure: draft.figure,
    value: draft.value,
    unit: draft.unit,
    baseline,
    ratio,
    target: draft.target ?? '',
    holds: draft.holds ? draft.holds(draft.value, ratio) : null,
    seed,
  };
}
