/**
 * The comparison of outcomes with runs notices each kind of violation.
 */
import { expect } from 'chai';
import type CallerOutcome from '../src/caller/CallerOutcome.js';
import tallyRun from '../src/traffic/tallyRun.js';

function buildOutcome(id: string, method: string, told: CallerOutcome['told']): CallerOutcome {
  return { id, method, told, status: 0, target: '', latencyMs: 0, failure: '' };
}

describe('tallyRun', () => {
  it('counts nothing against a clean run', () => {
    const outcomes = [buildOutcome('a', 'POST', 'answered'), buildOutcome('b', 'GET', 'not-run')];
    const tally = tallyRun(outcomes, [new Map([['a', 1]])]);
    expect(tally).to.include({ doubled: 0, falseNotRun: 0, wrong: 0, unearned: 0 });
  });

  it('counts doubled, falsely refused, wrong and unearned outcomes', () => {
    const outcomes = [
      buildOutcome('doubled', 'POST', 'answered'),
      buildOutcome('ran', 'POST', 'not-run'),
      buildOutcome('mixed', 'GET', 'wrong'),
      buildOutcome('never', 'GET', 'answered'),
    ];
    const runs = [
      new Map([['doubled', 1]]),
      new Map([
        ['doubled', 1],
        ['ran', 1],
        ['mixed', 1],
      ]),
    ];
    const tally = tallyRun(outcomes, runs);
    expect(tally).to.include({ doubled: 1, falseNotRun: 1, wrong: 1, unearned: 1 });
  });
});
