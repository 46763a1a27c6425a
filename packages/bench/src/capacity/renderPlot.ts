/**
 * Plots of slopes as SVG.
 */
import * as vega from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type Slope from './Slope.js';

const WIDTH_PX = 480;
const HEIGHT_PX = 280;

function buildSpec(slope: Slope, targetSize: number, limit: number | undefined): TopLevelSpec {
  const atTarget = slope.intercept + slope.slope * targetSize;
  const axisY = { field: 'value', type: 'quantitative', title: slope.unit } as const;
  const axisX = { field: 'size', type: 'quantitative', title: slope.per } as const;
  const line = [
    { size: 0, value: slope.intercept },
    { size: targetSize, value: atTarget },
  ];
  const layer = [
    {
      data: { values: line },
      mark: { type: 'line', strokeDash: [4, 4], color: '#888888' },
      encoding: { x: axisX, y: axisY },
    },
    {
      data: { values: [...slope.points] },
      mark: { type: 'point', filled: true, color: '#1f77b4' },
      encoding: { x: axisX, y: axisY },
    },
    {
      data: { values: [{ size: targetSize, value: atTarget }] },
      mark: { type: 'point', shape: 'diamond', filled: true, size: 90, color: '#d62728' },
      encoding: { x: axisX, y: axisY },
    },
    ...(limit === undefined
      ? []
      : [
          {
            data: { values: [{ value: limit }] },
            mark: { type: 'rule', color: '#d62728' },
            encoding: { y: axisY },
          },
        ]),
  ];
  return {
    title: slope.summary,
    width: WIDTH_PX,
    height: HEIGHT_PX,
    background: 'white',
    layer,
  } as TopLevelSpec;
}

/** The measured points, the fitted line drawn on to the target size, and the limit where one is stated. */
export default async function renderPlot(
  slope: Slope,
  targetSize: number,
  limit: number | undefined,
): Promise<string> {
  const { spec } = compile(buildSpec(slope, targetSize, limit));
  const view = new vega.View(vega.parse(spec), { renderer: 'none' });
  const svg = await view.toSVG();
  return `${svg}\n`;
}
