/**
 * The capacity page's tables as Markdown.
 */
import type CapacityRow from './CapacityRow.js';
import type Slope from './Slope.js';

const DIGITS = 3;

function formatNumber(value: number): string {
  return Number(value.toPrecision(DIGITS)).toLocaleString('en-GB', { maximumFractionDigits: 6 });
}

function formatVerdict(row: CapacityRow): string {
  if (row.limit === undefined) {
    return '';
  }
  return `${formatNumber(row.limit)} ${row.unit}: ${row.value <= row.limit ? 'within' : 'NOT REACHED'}`;
}

function renderRow(row: CapacityRow): string {
  const value = `${formatNumber(row.value)} ${row.unit}`;
  const slopes = row.slopes.map((name) => `\`${name}\``).join(', ');
  const cells = [row.role, row.what, slopes, row.formula, value, formatVerdict(row), row.mechanism];
  return `| ${cells.join(' | ')} |`;
}

function renderSlope(slope: Slope): string {
  const sizes = slope.points.map(({ size }) => size.toLocaleString('en-GB')).join(', ');
  const cells = [
    `\`${slope.name}\``,
    slope.summary,
    `${formatNumber(slope.slope)} ${slope.unit} for each of ${slope.per}`,
    `${formatNumber(slope.intercept)} ${slope.unit}`,
    `${formatNumber(slope.residual)}${slope.straight ? '' : ', not a line'}`,
    sizes,
  ];
  return `| ${cells.join(' | ')} |`;
}

/** Both tables, the roles first. */
export default function renderCapacityTables(
  rows: readonly CapacityRow[],
  slopes: readonly Slope[],
): string {
  return [
    '| role | what | slopes | worked out as | at the target size | limit | mechanism |',
    '|---|---|---|---|---|---|---|',
    ...rows.map(renderRow),
    '',
    '| slope | of | slope | at size zero | residual | measured at |',
    '|---|---|---|---|---|---|',
    ...slopes.map(renderSlope),
    '',
  ].join('\n');
}
