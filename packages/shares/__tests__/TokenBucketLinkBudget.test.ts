/**
 * Bandwidth limits of links between regions.
 */
import { expect } from 'chai';
import { some } from 'fp-ts/lib/Option.js';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Random from '@burdockcove/runtime/Random';
import TokenBucketLinkBudget from '../src/TokenBucketLinkBudget.js';

const MAX_VMS = 4;
const WINDOW_MS = 1_000;
/** 8 Mbit/s is a million bytes per second. */
const LIMIT_BYTES = 1_000_000;

function buildSource(): ConfigurationSource {
  const link = { between: ['tartu', 'parnu'], megabitsPerSecond: 8, oneWayMs: 35 };
  const accepted = { configuration: { links: [link], maxEntryVms: MAX_VMS } };
  return {
    getCurrent: () => some(accepted as unknown as AcceptedConfiguration),
    subscribe: () => () => undefined,
  };
}

describe('TokenBucketLinkBudget', () => {
  it('keeps the traffic of the maximum number of VMs within the limit in any window', async () => {
    const clock = new FakeClock();
    const random = new Random(7);
    const budgets = Array.from(
      { length: MAX_VMS },
      () => new TokenBucketLinkBudget(clock, buildSource()),
    );
    const sent: { readonly atMs: number; readonly bytes: number }[] = [];
    for (let step = 0; step < 400; step += 1) {
      // Bursts after idle periods are the worst case.
      await clock.advance(random.nextInt(20) === 0 ? 1_500 : random.nextInt(20));
      const bytes = 1_000 + random.nextInt(20_000);
      budgets
        .filter((budget) => budget.reserveBytes('tartu', 'parnu', bytes))
        .forEach(() => sent.push({ atMs: clock.getMonotonicMs(), bytes }));
    }
    const windows = sent.map(({ atMs }) =>
      sent
        .filter((each) => each.atMs >= atMs && each.atMs < atMs + WINDOW_MS)
        .reduce((sum, each) => sum + each.bytes, 0),
    );
    expect(Math.max(...windows)).to.be.within(LIMIT_BYTES * 0.5, LIMIT_BYTES);
  });

  it('delays reservations while there is a debt, and refuses links that are not configured', async () => {
    const clock = new FakeClock();
    const budget = new TokenBucketLinkBudget(clock, buildSource());
    await clock.advance(WINDOW_MS);
    expect(budget.reserveBytes('tartu', 'parnu', 1_000)).to.equal(true);
    budget.settleBytes('tartu', 'parnu', 1_000, 250_000);
    expect(budget.reserveBytes('tartu', 'parnu', 1_000)).to.equal(false);
    expect(budget.reserveBytes('parnu', 'tartu', 1_000)).to.equal(true);
    const waitMs = budget.estimateWaitMs('tartu', 'parnu', 1_000);
    await clock.advance(Math.ceil(waitMs));
    expect(budget.reserveBytes('tartu', 'parnu', 1_000)).to.equal(true);
    expect(budget.reserveBytes('tartu', 'narva', 1)).to.equal(false);
    expect(budget.reserveBytes('tartu', 'tartu', 1e9)).to.equal(true);
  });
});
