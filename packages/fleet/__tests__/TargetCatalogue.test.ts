/**
 * Beliefs about targets: leaving, lapsed, evacuated, cold.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import TargetCatalogue from '../src/TargetCatalogue.js';
import buildTargetRecord from './buildTargetRecord.js';

const COLD_MS = 3000;

describe('TargetCatalogue', () => {
  let clock: FakeClock;
  let catalogue: TargetCatalogue;

  function listNames(): readonly string[] {
    return catalogue.listUsable('desk').map(({ target }) => target.name);
  }

  function loseStoreAndReturn(): void {
    catalogue.markStoreUnavailable();
    catalogue.markStoreAvailable();
  }

  beforeEach(() => {
    clock = new FakeClock();
    catalogue = new TargetCatalogue(clock, () => COLD_MS);
    ['t1', 't2', 't3', 't4', 't5', 't6'].forEach((name) =>
      catalogue.putTarget(buildTargetRecord(name)),
    );
  });

  it('takes new work away at once from a target that leaves or whose entry is removed', () => {
    catalogue.putTarget(buildTargetRecord('t1', { isLeaving: true }));
    catalogue.removeTarget('t2');
    expect(listNames()).to.deep.equal(['t3', 't4', 't5', 't6']);
    expect(catalogue.findUsable('t1')).to.equal(undefined);
  });

  it('keeps targets whose entries lapsed in a store outage until they had time to return', async () => {
    loseStoreAndReturn();
    catalogue.replaceTargets([buildTargetRecord('t1')]);
    expect(listNames()).to.have.length(6);
    catalogue.putTarget(buildTargetRecord('t2'));
    await clock.advance(2001);
    expect(listNames()).to.deep.equal(['t1', 't2']);
  });

  it('drops a few targets that left while only this VM could not reach the store', () => {
    loseStoreAndReturn();
    catalogue.replaceTargets(['t1', 't2', 't3', 't4'].map((name) => buildTargetRecord(name)));
    expect(listNames()).to.deep.equal(['t1', 't2', 't3', 't4']);
  });

  it('drops removed targets at once when the time to return has passed', async () => {
    loseStoreAndReturn();
    await clock.advance(2001);
    catalogue.replaceTargets([]);
    expect(listNames()).to.deep.equal([]);
  });

  it('sends nothing to an evacuated failure domain, whose targets are cold when it is taken back', () => {
    catalogue.putTarget(buildTargetRecord('b1', {}, 'b'));
    catalogue.setEvacuated('b', true);
    expect(listNames()).not.to.include('b1');
    catalogue.setEvacuated('b', false);
    const back = catalogue.findUsable('b1');
    expect(back?.coldUntilMs).to.equal(clock.getMonotonicMs() + COLD_MS);
  });

  it('believes a new incarnation cold, and the report where it is longer', async () => {
    await clock.advance(10_000);
    const startedAtMs = clock.getWallMs() - 500;
    catalogue.putTarget(buildTargetRecord('t1', { startedAtMs }));
    expect(catalogue.findUsable('t1')?.coldUntilMs).to.equal(10_000 + COLD_MS - 500);
    catalogue.putTarget(buildTargetRecord('t1', { startedAtMs, coldMs: 9000 }));
    expect(catalogue.findUsable('t1')?.coldUntilMs).to.equal(19_000);
  });
});
