/**
 * What callers were told, held against what targets ran.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import buildExpectedAnswer from './buildExpectedAnswer.js';
import type FakeTarget from './FakeTarget.js';
import type CallerResult from './CallerResult.js';

interface Account {
  readonly id: string;
  readonly semantics: OperationSemantics;
  readonly body: Buffer;
  readonly isLarge: boolean;
  readonly told: CallerResult;
}

interface Violation {
  readonly kind: 'doubled' | 'false-not-run' | 'wrong-answer';
  readonly id: string;
}

const PLAIN_UNAVAILABLE = 'plain';

function isRightAnswer({ id, body, isLarge, told }: Account, runs: number): boolean {
  if (told._tag !== 'Answer') {
    return true;
  }
  if (told.status === 503) {
    return told.body === PLAIN_UNAVAILABLE;
  }
  return runs > 0 && told.status === 200 && told.body === buildExpectedAnswer(id, body, isLarge);
}

/** Every broken rule, by request. */
function findViolations(
  accounts: readonly Account[],
  targets: readonly FakeTarget[],
): readonly Violation[] {
  return accounts.flatMap((account) => {
    const { id, semantics, told } = account;
    const runs = targets.reduce((sum, target) => sum + (target.runs.get(id) ?? 0), 0);
    const found: Violation[] = [];
    if (semantics === 'at-most-once' && runs > 1) {
      found.push({ kind: 'doubled', id });
    }
    if (told._tag === 'NotRun' && runs > 0) {
      found.push({ kind: 'false-not-run', id });
    }
    if (!isRightAnswer(account, runs)) {
      found.push({ kind: 'wrong-answer', id });
    }
    return found;
  });
}

export default findViolations;
