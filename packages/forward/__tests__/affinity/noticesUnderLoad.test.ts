/**
 * Load while targets speak of themselves: half of a service asks for a pause under a burst, and a rolling replacement.
 */
import { expect } from 'chai';
import NO_NOTICE from '@burdockcove/targets/NO_NOTICE';
import ServiceSimulation from './ServiceSimulation.js';

const MS_PER_SECOND = 1000;
const SLOTS = 3;
const SERVICE_MS = 100;
const TARGETS = 8;
const COLD_RATE_PER_S = 4;
const COLD_BOUND = COLD_RATE_PER_S * 1.5 + 5;
/** Requests a second that all targets together can run. */
const CAPACITY_PER_S = (TARGETS * SLOTS * MS_PER_SECOND) / SERVICE_MS;
const OPTIONS = {
  slots: SLOTS,
  serviceMs: SERVICE_MS,
  coldRatePerS: COLD_RATE_PER_S,
  coldMs: 3000,
};

function countWithin(times: readonly number[], fromS: number, toS: number): number {
  return times.filter((at) => at >= fromS * MS_PER_SECOND && at < toS * MS_PER_SECOND).length;
}

/** Returns the highest number of times within any second from the given time on. */
function measureBurst(times: readonly number[], fromMs: number, toMs: number): number {
  const starts = times.filter((at) => at >= fromMs && at < toMs);
  return Math.max(
    0,
    ...starts.map((from) => times.filter((at) => at >= from && at < from + MS_PER_SECOND).length),
  );
}

describe('a burst while half of the targets ask for a pause', () => {
  const PAUSE_MS = 2000;
  let simulation: ServiceSimulation;

  async function play(demandPerS: number): Promise<void> {
    simulation = new ServiceSimulation(OPTIONS);
    const targets = Array.from({ length: TARGETS }, (_, index) =>
      simulation.addTarget(`t${index}`),
    );
    const half = targets.slice(0, TARGETS / 2);
    await simulation.run(1, CAPACITY_PER_S / 3);
    half.forEach((target) => {
      Object.assign(target, {
        isShedding: true,
        notice: { isLeaving: false, pauseMs: PAUSE_MS },
      });
    });
    await simulation.run(2, demandPerS);
    half.forEach((target) => {
      Object.assign(target, { isShedding: false, notice: NO_NOTICE });
    });
    await simulation.run(3, demandPerS);
  }

  it('leaves them alone, does not flood the rest, and refuses the excess early with a time to return', async () => {
    await play(CAPACITY_PER_S);
    const targets = [...simulation.targets.values()];
    targets.slice(0, TARGETS / 2).forEach(({ arrivedAtMs }) => {
      expect(countWithin(arrivedAtMs, 1.7, 2.9)).to.be.at.most(2);
    });
    targets.slice(TARGETS / 2).forEach(({ peakInFlight }) => {
      expect(peakInFlight).to.be.at.most(2 * SLOTS);
    });
    expect(simulation.computeServedShare(1.5, 2.5)).to.be.at.least(0.4);
    const refused = simulation.outcomes.filter(({ isServed }) => !isServed);
    refused.forEach(({ requestedAtMs, endedAtMs }) => {
      expect(endedAtMs - requestedAtMs).to.be.at.most(0.4 * 4000 + 50);
    });
  });

  it('serves all where the rest has room, and uses the others again after the pause', async () => {
    await play(CAPACITY_PER_S / 3);
    expect(simulation.computeServedShare(1.6, 5)).to.be.at.least(0.95);
    [...simulation.targets.values()].slice(0, TARGETS / 2).forEach(({ arrivedAtMs }) => {
      expect(countWithin(arrivedAtMs, 3.5, 6)).to.be.at.least(1);
    });
  });
});

describe('a rolling replacement of all targets, each leaving in turn', () => {
  const INTERVAL_S = 1;
  const DEMAND_PER_S = CAPACITY_PER_S / 3;

  it('sends nothing to those that leave, does not flood the cold ones, and serves the callers', async () => {
    const simulation = new ServiceSimulation(OPTIONS);
    const old = Array.from({ length: TARGETS }, (_, index) => simulation.addTarget(`t${index}`));
    const startedAtMs = new Map<string, number>();
    let replaced = 0;
    await simulation.run(TARGETS * INTERVAL_S + 4, DEMAND_PER_S, (second) => {
      if (replaced < TARGETS && second >= (replaced + 1) * INTERVAL_S) {
        const leaving = old[replaced];
        Object.assign(leaving ?? {}, { notice: { isLeaving: true, pauseMs: 0 } });
        const name = `new${replaced}`;
        simulation.addTarget(name, OPTIONS.coldMs);
        startedAtMs.set(name, simulation.clock.getMonotonicMs());
        replaced += 1;
      }
    });
    old.forEach(({ arrivedAtMs, saidLeavingAtMs }) => {
      expect(saidLeavingAtMs).to.be.lessThan(Infinity);
      expect(arrivedAtMs.filter((at) => at > saidLeavingAtMs)).to.deep.equal([]);
    });
    startedAtMs.forEach((fromMs, name) => {
      const { arrivedAtMs = [] } = simulation.targets.get(name) ?? {};
      const burst = measureBurst(arrivedAtMs, fromMs, fromMs + OPTIONS.coldMs - MS_PER_SECOND);
      expect(burst).to.be.within(1, COLD_BOUND);
    });
    expect(simulation.computeServedShare(0, TARGETS * INTERVAL_S)).to.be.at.least(0.85);
  });
});
