/**
 * Compares what callers received with what targets ran.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import buildExpectedAnswer from './buildExpectedAnswer.js';
import type FakeTarget from './FakeTarget.js';
import type CallerResult from './CallerResult.js';

interface RequestOutcome {
  readonly id: string;
  readonly semantics: OperationSemantics;
  readonly body: Buffer;
  readonly isLarge: boolean;
  readonly result: CallerResult;
}

interface Violation {
  readonly kind: 'doubled' | 'false-not-run' | 'wrong-answer';
  readonly id: string;
}

const PLAIN_UNAVAILABLE = 'plain';

function isCorrectResult({ id, body, isLarge, result }: RequestOutcome, runs: number): boolean {
  if (result._tag !== 'Answer') {
    return true;
  }
  if (result.status === 503) {
    return result.body === PLAIN_UNAVAILABLE;
  }
  return (
    runs > 0 && result.status === 200 && result.body === buildExpectedAnswer(id, body, isLarge)
  );
}

/** Returns all violations of the guarantees to callers, by request. */
function findViolations(
  outcomes: readonly RequestOutcome[],
  targets: readonly FakeTarget[],
): readonly Violation[] {
  return outcomes.flatMap((outcome) => {
    const { id, semantics, result } = outcome;
    const runs = targets.reduce((sum, target) => sum + (target.runs.get(id) ?? 0), 0);
    const violations: Violation[] = [];
    if (semantics === 'at-most-once' && runs > 1) {
      violations.push({ kind: 'doubled', id });
    }
    if (result._tag === 'NotRun' && runs > 0) {
      violations.push({ kind: 'false-not-run', id });
    }
    if (!isCorrectResult(outcome, runs)) {
      violations.push({ kind: 'wrong-answer', id });
    }
    return violations;
  });
}

export default findViolations;
