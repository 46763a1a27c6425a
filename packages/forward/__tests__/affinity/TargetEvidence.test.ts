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
    evidence.recordSent();
    return evidence.recordResult({ ...SHED, ...result }, USUAL_MS);
  }

  beforeEach(() => {
    clock = new FakeClock();
    evidence = new TargetEvidence(clock, 3);
  });

  it('rests a target that is full', () => {
    learn({ load: { inFlight: 6, slots: 3, draining: false } });
    expect(evidence.isPaused()).to.equal(true);
  });

  it('rests no target that refuses part of its requests with slots free', () => {
    for (let index = 0; index < 20; index += 1) {
      learn({ load: { inFlight: 1, slots: 3, draining: false } });
    }
    expect(evidence.isPaused()).to.equal(false);
    expect(evidence.hasRoom(USUAL_MS, 0)).to.equal(true);
  });

  it('rests a target that fails for longer each time, and knows it may have restarted after', async () => {
    const rests: boolean[] = [];
    for (let index = 0; index < 3; index += 1) {
      learn({ ended: 'unreachable' });
      await clock.advance(400);
      rests.push(evidence.isPaused());
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

  it('forgets what was in flight once it has ended, whatever the end', () => {
    (['answered', 'broken', 'cancelled', 'timed-out', 'misdirected'] as const).forEach((ended) => {
      learn({ ended });
    });
    expect(evidence.inFlight).to.equal(0);
  });
});
