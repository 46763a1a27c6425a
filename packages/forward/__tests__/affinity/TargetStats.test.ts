/**
 * Capacity, load and slowdown of a target after sheds, failures, restarts and overdue requests.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import TargetStats from '../../src/affinity/TargetStats.js';
import type AttemptResult from '../../src/AttemptResult.js';

const MEAN_LATENCY_MS = 300;
const SHED: AttemptResult = { ended: 'shed', status: 503, latencyMs: 5 };

describe('TargetStats', () => {
  let clock: FakeClock;
  let stats: TargetStats;

  function recordAttempt(result: Partial<AttemptResult>): void {
    const sent = stats.recordSent(MEAN_LATENCY_MS);
    stats.recordResult(sent, { ...SHED, ...result }, MEAN_LATENCY_MS);
  }

  beforeEach(() => {
    clock = new FakeClock();
    stats = new TargetStats(clock, 3);
  });

  it('backs off from a target that sheds while it is full', () => {
    recordAttempt({ load: { inFlight: 6, slots: 3, draining: false } });
    expect(stats.hasCapacity(MEAN_LATENCY_MS, 1)).to.equal(false);
  });

  it('does not back off from a target that sheds requests while it has free slots', () => {
    for (let index = 0; index < 20; index += 1) {
      recordAttempt({ load: { inFlight: 1, slots: 3, draining: false } });
    }
    expect(stats.hasCapacity(MEAN_LATENCY_MS, 0)).to.equal(true);
  });

  it('backs off longer with each failure', async () => {
    const backoffs: boolean[] = [];
    for (let index = 0; index < 3; index += 1) {
      recordAttempt({ ended: 'unreachable' });
      await clock.advance(400);
      backoffs.push(stats.isInFailureBackoff());
    }
    expect(backoffs).to.deep.equal([false, true, true]);
  });

  it('is silent two seconds after the first request without a response, until it responds to any', async () => {
    recordAttempt({ ended: 'timed-out' });
    await clock.advance(1000);
    recordAttempt({ ended: 'timed-out' });
    await clock.advance(999);
    expect(stats.isSilent()).to.equal(false);
    await clock.advance(1);
    expect(stats.isSilent()).to.equal(true);
    recordAttempt({ ended: 'shed' });
    expect(stats.isSilent()).to.equal(false);
  });

  it('decreases the weight of a reported load with its age', async () => {
    recordAttempt({ ended: 'answered', load: { inFlight: 4, slots: 3, draining: false } });
    expect(stats.estimateInFlight()).to.equal(4);
    await clock.advance(1500);
    expect(stats.estimateInFlight()).to.equal(0);
  });

  it('estimates a slowdown while a request is overdue, and for some time afterwards', async () => {
    const sent = stats.recordSent(MEAN_LATENCY_MS);
    await clock.advance(MEAN_LATENCY_MS * 2);
    expect(stats.estimateSlowdown()).to.equal(1);
    await clock.advance(MEAN_LATENCY_MS * 4);
    expect(stats.estimateSlowdown()).to.equal(6);
    stats.recordResult(sent, { ended: 'answered', status: 200, latencyMs: 1800 }, MEAN_LATENCY_MS);
    expect(stats.estimateSlowdown()).to.be.within(2, 3);
    await clock.advance(6000);
    expect(stats.estimateSlowdown()).to.equal(1);
  });

  it('no longer counts a request as in flight after any kind of end', () => {
    (['answered', 'broken', 'cancelled', 'timed-out', 'misdirected'] as const).forEach((ended) => {
      recordAttempt({ ended });
    });
    expect(stats.inFlight).to.equal(0);
  });
});
