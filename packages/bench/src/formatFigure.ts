/**
 * Figures for reading.
 */
import type Figure from './Figure.js';

const SIGNIFICANT_DIGITS = 4;

function formatNumber(value: number | null): string {
  return value === null ? '-' : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

/** One line of the table. */
export default function formatFigure(figure: Figure): string {
  const verdict =
    figure.holds === null ? '' : `${figure.holds ? 'holds' : 'FAILS'}: ${figure.target}`;
  return [
    figure.figure.padEnd(44),
    `${formatNumber(figure.value)} ${figure.unit}`.padEnd(24),
    `baseline ${formatNumber(figure.baseline)}`.padEnd(22),
    `ratio ${formatNumber(figure.ratio)}`.padEnd(16),
    verdict,
  ]
    .join(' ')
    .trimEnd();
}
