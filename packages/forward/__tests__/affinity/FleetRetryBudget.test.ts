/**
 * Retries of all entry VMs together while targets refuse every attempt.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import FleetRetryBudget from '../../src/admission/FleetRetryBudget.js';
import SERVICE from '../__fixtures__/SERVICE.js';

const RATIO = 0.2;
const ALLOWANCE = 58;
const WINDOW_MS = 10_000;

/** Refuses every attempt of `requestsPerVm` requests per 100 ms and VM; returns the most retries in any window. */
async function runWithRefusals(
  vms: number,
  requestsPerVm: number,
): Promise<{ limit: number; maxRetries: number }> {
  const clock = new FakeClock();
  const getBudget = () => ({ ratio: RATIO, allowance: ALLOWANCE, windowMs: WINDOW_MS });
  const fleet = Array.from(
    { length: vms },
    () => new FleetRetryBudget(clock, getBudget, () => vms),
  );
  const perTick: { firstAttempts: number; retries: number }[] = [];
  for (let tick = 0; tick < 300; tick += 1) {
    let retries = 0;
    fleet.forEach((budget) => {
      for (let index = 0; index < requestsPerVm; index += 1) {
        budget.recordFirstAttempt(SERVICE, 'desk');
        retries += budget.tryAcquireRetry(SERVICE, 'desk') ? 1 : 0;
      }
    });
    perTick.push({ firstAttempts: vms * requestsPerVm, retries });
    await clock.advance(100);
  }
  const sums = perTick.slice(0, 200).map((_tick, from) => {
    const window = perTick.slice(from, from + WINDOW_MS / 100);
    return window.reduce((sum, { retries }) => sum + retries, 0);
  });
  return { limit: RATIO * vms * requestsPerVm * 100 + ALLOWANCE, maxRetries: Math.max(...sums) };
}

describe('FleetRetryBudget: every attempt refused', () => {
  [
    [9, 1],
    [9, 5],
    [77, 1],
  ].forEach(([vms = 0, requests = 0]) => {
    it(`stays within the shared budget with ${vms} VMs and ${requests} requests per 100 ms`, async () => {
      const { limit, maxRetries } = await runWithRefusals(vms, requests);
      expect(maxRetries).to.be.within(1, limit);
    });
  });
});
