/**
 * What one target's answers teach: refusals, silence, restarts.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import TargetEvidence from '../../src/affinity/TargetEvidence.js';
import type AttemptResult from '../../src/AttemptResult.js';

const USUAL_MS = 300;
const SHED: AttemptResult = { ended: 'shed', status: 503, latencyMs: 5 };

describe('TargetEvidence', () => {
  let clock: FakeClock;
  let evidence: TargetEvidence;

  function learn(result: Partial<AttemptResult>): boolean {
    const sent = evidence.recordSent(USUAL_MS);
    return evidence.recordResult(sent, { ...SHED, ...result }, USUAL_MS);
  }

  beforeEach(() => {
    clock = new FakeClock();
    evidence = new TargetEvidence(clock, 3);
  });

  it('rests a target that is full', () => {
    learn({ load: { inFlight: 6, slots: 3, draining: false } });
    expect(evidence.hasRoom(USUAL_MS, 1)).to.equal(false);
  });

  it('rests no target that refuses part of its requests with slots free', () => {
    for (let index = 0; index < 20; index += 1) {
      learn({ load: { inFlight: 1, slots: 3, draining: false } });
    }
    expect(evidence.hasRoom(USUAL_MS, 0)).to.equal(true);
  });

  it('rests a target that fails for longer each time, and knows it may have restarted after', async () => {
    const rests: boolean[] = [];
    for (let index = 0; index < 3; index += 1) {
      learn({ ended: 'unreachable' });
      await clock.advance(400);
      rests.push(evidence.isFailing());
    }
    expect(rests).to.deep.equal([false, true, true]);
    expect(learn({ ended: 'answered' })).to.equal(true);
    expect(learn({ ended: 'answered' })).to.equal(false);
  });

  it('lets a reported load fade', async () => {
    learn({ ended: 'answered', load: { inFlight: 4, slots: 3, draining: false } });
    expect(evidence.estimateInFlight()).to.equal(4);
    await clock.advance(1500);
    expect(evidence.estimateInFlight()).to.equal(0);
  });

  it('takes a target for slow while a request is overdue there, and for a time after', async () => {
    const sent = evidence.recordSent(USUAL_MS);
    await clock.advance(USUAL_MS * 2);
    expect(evidence.estimateSlowness()).to.equal(1);
    await clock.advance(USUAL_MS * 4);
    expect(evidence.estimateSlowness()).to.equal(6);
    evidence.recordResult(sent, { ended: 'answered', status: 200, latencyMs: 1800 }, USUAL_MS);
    expect(evidence.estimateSlowness()).to.be.within(2, 3);
    await clock.advance(6000);
    expect(evidence.estimateSlowness()).to.equal(1);
  });

  it('forgets what was in flight once it has ended, whatever the end', () => {
    (['answered', 'broken', 'cancelled', 'timed-out', 'misdirected'] as const).forEach((ended) => {
      learn({ ended });
    });
    expect(evidence.inFlight).to.equal(0);
  });
});
