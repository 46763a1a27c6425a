/**
 * One compared target, for reading.
 */
import formatPercent from '../output/formatPercent.js';
import describeReason from './describeReason.js';
import type ExplainedCandidate from './ExplainedCandidate.js';

function formatCold({ isCold, isConfirmed }: ExplainedCandidate): string {
  const state = isCold ? 'cold' : '';
  const doubt = isConfirmed ? '' : 'unconfirmed';
  return [state, doubt]
    .filter(Boolean)
    .map((text) => `${text}, `)
    .join('');
}

function formatLoad({ workLeftMs, workTimeRatio, missChance }: ExplainedCandidate): string {
  return [
    ...(workLeftMs === undefined ? [] : [`${workLeftMs} ms left there`]),
    ...(workTimeRatio === undefined ? [] : [`pace ${workTimeRatio}`]),
    ...(missChance === undefined ? [] : [`misses the goal at ${formatPercent(missChance)}`]),
  ]
    .map((text) => `${text}, `)
    .join('');
}

/** `index` is its position among the compared targets, from 0. */
export default function formatCandidate(candidate: ExplainedCandidate, index: number): string {
  const { target, region, preference, isWarm, workMs, waitMs, endMs, reason } = candidate;
  const warmth = isWarm ? 'warm, ' : '';
  const state = `preference ${preference + 1}, ${warmth}${formatCold(candidate)}`;
  const times = `work ${workMs} ms, ${formatLoad(candidate)}wait ${waitMs} ms, end after ${endMs} ms`;
  const blocked = reason === undefined ? '' : `; not now: ${describeReason(reason)}`;
  return `${index + 1}. ${target} (${region}): ${state}${times}${blocked}.`;
}
