/**
 * Steps that wait and check.
 */
import { expect } from 'chai';
import { isSome } from 'fp-ts/lib/Option.js';
import waitFor from '@burdockcove/runtime/waitFor';
import type ScenarioWorld from './ScenarioWorld.js';
import type Step from './Step.js';

const MS_PER_SECOND = 1000;
/** Cut requests that a failed check lists. */
const LISTED_MOST = 12;
const HELD = { doubled: 0, falseNotRun: 0, wrong: 0, unearned: 0 };

async function checkHeld(world: ScenarioWorld): Promise<void> {
  const tally = await world.settle();
  expect(tally.answered).to.be.greaterThan(0);
  expect(tally).to.include(HELD);
  expect(world.countExcess()).to.equal(0);
}

function hasLeavingLabel({ deployment }: ScenarioWorld): boolean {
  return deployment.vms.every((vm) => {
    const current = vm.process.control.configuration.getCurrent();
    const targets = isSome(current) ? current.value.configuration.targets : [];
    return targets.some(({ labels }) => labels.leaving === 'true');
  });
}

const checkSteps: readonly Step<ScenarioWorld>[] = [
  {
    pattern: /^(\d+) seconds pass$/,
    run: ({ deployment }, [seconds]) => waitFor(deployment.clock, Number(seconds) * MS_PER_SECOND),
  },
  { pattern: /^requests are answered again$/, run: (world) => world.waitAnswered() },
  {
    pattern: /^some requests were told unknown$/,
    run: async ({ deployment, traffic }) => {
      await deployment.waitUntil('a request is told unknown', () =>
        traffic.outcomes.some(({ told }) => told === 'unknown'),
      );
    },
  },
  {
    pattern: /^target "([^"]+)" got no new request in the last (\d+) seconds$/,
    run: async (world, [name = '', seconds]) => {
      const { lastStartMs } = world.getTarget(name).getCounts();
      const quietMs = world.deployment.clock.getMonotonicMs() - lastStartMs;
      expect(quietMs).to.be.at.least(Number(seconds) * MS_PER_SECOND);
    },
  },
  {
    pattern: /^no request was cut$/,
    run: async ({ traffic }) => {
      const cut = traffic.outcomes.filter(({ told }) => told === 'cut' || told === 'refused');
      const seen = cut.map(({ told, status, latencyMs, failure }) =>
        [told, status, Math.round(latencyMs), failure].join(' '),
      );
      expect(seen.slice(0, LISTED_MOST), `${cut.length} requests`).to.deep.equal([]);
    },
  },
  {
    pattern: /^the operator was told that the change is in force$/,
    run: async ({ told }) => {
      expect(told).to.equal('done');
    },
  },
  {
    pattern: /^the label is in force on every entry VM$/,
    run: async (world) => {
      await world.deployment.waitUntil('the label is in force', () => hasLeavingLabel(world));
    },
  },
  { pattern: /^what must always hold has held$/, run: (world) => checkHeld(world) },
];

export default checkSteps;
