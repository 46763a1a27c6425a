/**
 * Comparison of what callers were told with what targets did.
 */
import type CallerOutcome from '../caller/CallerOutcome.js';
import type RunTally from './RunTally.js';

function sumRuns(runs: readonly ReadonlyMap<string, number>[]): ReadonlyMap<string, number> {
  const sum = new Map<string, number>();
  runs.forEach((counts) => counts.forEach((count, id) => sum.set(id, (sum.get(id) ?? 0) + count)));
  return sum;
}

/** Requests with the method POST are the at-most-once ones. */
export default function tallyRun(
  outcomes: readonly CallerOutcome[],
  runs: readonly ReadonlyMap<string, number>[],
): RunTally {
  const ran = sumRuns(runs);
  const count = (test: (outcome: CallerOutcome) => boolean): number => outcomes.filter(test).length;
  const getRuns = ({ id }: CallerOutcome): number => ran.get(id) ?? 0;
  return {
    answered: count(({ told }) => told === 'answered'),
    notRun: count(({ told }) => told === 'not-run'),
    unknown: count(({ told }) => told === 'unknown'),
    cut: count(({ told }) => told === 'cut' || told === 'refused'),
    doubled: count((outcome) => outcome.method === 'POST' && getRuns(outcome) > 1),
    falseNotRun: count((outcome) => outcome.told === 'not-run' && getRuns(outcome) > 0),
    wrong: count(({ told }) => told === 'wrong'),
    unearned: count((outcome) => outcome.told === 'answered' && getRuns(outcome) === 0),
  };
}
