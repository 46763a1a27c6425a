/**
 * Matching of steps.
 */
import { expect } from 'chai';
import type { Pickle } from '@cucumber/messages';
import runSteps from '../src/runSteps.js';
import type Step from '../src/Step.js';

const STEPS: readonly Step<string[]>[] = [
  {
    pattern: /^(\d+) entry VMs$/,
    run: async (world, [count]) => {
      world.push(`started ${count}`);
    },
  },
];

function buildPickle(...texts: string[]): Pickle {
  return { steps: texts.map((text) => ({ text })) } as unknown as Pickle;
}

describe('runSteps', () => {
  it('passes captured groups on', async () => {
    const world: string[] = [];
    await runSteps(buildPickle('3 entry VMs'), STEPS, world);
    expect(world).to.deep.equal(['started 3']);
  });

  it('refuses a misspelt step before the first one runs', async () => {
    const world: string[] = [];
    const failure = await runSteps(buildPickle('3 entry VMs', '3 entry VM'), STEPS, world).catch(
      (error: Error) => error.message,
    );
    expect(failure).to.equal('step "3 entry VM" matches 0 patterns');
    expect(world).to.deep.equal([]);
  });
});
