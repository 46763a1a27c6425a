/**
 * Choice under targets that are slow, broken, shedding, leaving or new.
 */
import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import type AttemptResult from '../../src/AttemptResult.js';
import ChooserHarness from './ChooserHarness.js';

const BROKEN: Partial<AttemptResult> = { ended: 'broken', status: 0, latencyMs: 1 };

/** Sends one request after the other; returns how many went to each target. */
async function sendMany(
  test: ChooserHarness,
  count: number,
  getResult: (target: string) => Partial<AttemptResult>,
): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const choice = await test.chooseTarget();
    const { name } = choice.target;
    counts.set(name, (counts.get(name) ?? 0) + 1);
    await test.endExchange(choice, getResult(name));
  }
  return counts;
}

function listBroken(...names: string[]): (target: string) => Partial<AttemptResult> {
  return (target) => (names.includes(target) ? BROKEN : {});
}

describe('evidence', () => {
  it('sends a slow target only what comparison of two cannot avoid', async () => {
    const test = new ChooserHarness();
    const counts = await sendMany(test, 200, (target) => ({
      latencyMs: target === 'near-0' ? 100 : 10,
    }));
    expect(counts.get('near-0') ?? 0).to.be.at.most(20);
  });

  it('ejects half of the targets where half are broken, and all requests go to the others', async () => {
    const test = new ChooserHarness();
    const getResult = listBroken('near-0', 'near-1');
    await sendMany(test, 60, getResult);
    const counts = await sendMany(test, 100, getResult);
    expect((counts.get('near-0') ?? 0) + (counts.get('near-1') ?? 0)).to.equal(0);
    await test.registry.getMetricsAsJSON();
    expect(await test.readMetric('burdockcove_ejection_ignored', {})).to.equal(0);
  });

  it('goes on sending where all look sick, and says that ejection is ignored', async () => {
    const test = new ChooserHarness();
    const counts = await sendMany(test, 100, () => BROKEN);
    expect([...counts.values()].reduce((sum, count) => sum + count, 0)).to.equal(100);
    await test.registry.getMetricsAsJSON();
    expect(await test.readMetric('burdockcove_ejection_ignored', {})).to.equal(1);
  });

  it('believes again in targets that answer after all looked sick', async () => {
    const test = new ChooserHarness();
    await sendMany(test, 50, () => BROKEN);
    await sendMany(test, 50, () => ({}));
    await test.clock.advance(60_000);
    await sendMany(test, 50, () => ({}));
    const { regions } = test.chooser.describeChoice(test.service, test.plan);
    const conditions = regions[0]?.targets.map(({ condition }) => condition);
    expect(conditions).to.deep.equal(['healthy', 'healthy', 'healthy', 'healthy']);
  });

  it('tries an ejected target with one request at a time, and lets it back slowly', async () => {
    const test = new ChooserHarness({
      regions: [{ region: 'near', targets: 4, slots: 10, oneWayMs: 0 }],
    });
    await sendMany(test, 60, listBroken('near-0'));
    await test.clock.advance(5_000);
    const first = await Promise.all(Array.from({ length: 31 }, () => test.chooseTarget()));
    const trials = first.filter(({ target }) => target.name === 'near-0');
    expect(trials).to.have.length(1);
    await Promise.all(first.map((choice) => test.endExchange(choice, { latencyMs: 0 })));
    const second = await Promise.all(Array.from({ length: 31 }, () => test.chooseTarget()));
    expect(second.filter(({ target }) => target.name === 'near-0')).to.have.length(1);
  });

  it('does not count short deadlines against the targets', async () => {
    const test = new ChooserHarness();
    await sendMany(test, 20, () => ({ latencyMs: 50 }));
    await sendMany(test, 100, () => ({ ended: 'timed-out', status: 0, latencyMs: 1 }));
    expect(await test.readMetric('burdockcove_target_ejections_total', {})).to.equal(0);
  });

  it('pauses after a shed, longer each time, but never for long', async () => {
    const test = new ChooserHarness({
      regions: [{ region: 'near', targets: 1, slots: 1, oneWayMs: 0 }],
    });
    const startMs = test.clock.getMonotonicMs();
    let sheds = 0;
    while (test.clock.getMonotonicMs() - startMs < 9_000) {
      const asked = test.requestTarget({ deadlineAtMs: startMs + 20_000 });
      await test.clock.advance(750);
      const answer = await asked;
      if (isRight(answer)) {
        sheds += 1;
        await test.endExchange(answer.right, { ended: 'shed', status: 503, latencyMs: 0 });
      }
    }
    expect(sheds).to.be.within(10, 14);
  });

  it('keeps a storm of sheds away from the other targets', async () => {
    const test = new ChooserHarness();
    const shed = { ended: 'shed', status: 503, latencyMs: 1 } as const;
    const counts = await sendMany(test, 1_000, (target) =>
      target === 'near-0' || target === 'near-1' ? shed : {},
    );
    const sheds = (counts.get('near-0') ?? 0) + (counts.get('near-1') ?? 0);
    expect(sheds).to.be.at.most(100);
  });

  it('prefers targets that were not tried, and goes back to a tried one when it is the last', async () => {
    const test = new ChooserHarness({
      regions: [{ region: 'near', targets: 2, slots: 5, oneWayMs: 0 }],
    });
    for (let index = 0; index < 5; index += 1) {
      const choice = await test.chooseTarget({ tried: ['near-0'] });
      expect(choice.target.name).to.equal('near-1');
    }
    const last = await test.chooseTarget({ tried: ['near-0', 'near-1'] });
    expect(last.target.name).to.equal('near-0');
  });

  it('sends nothing to a leaving target, even from a plan made before', async () => {
    const test = new ChooserHarness({
      regions: [{ region: 'near', targets: 2, slots: 1, oneWayMs: 0 }],
    });
    const first = await test.chooseTarget();
    const second = await test.chooseTarget();
    const waiting = test.chooseTarget();
    test.leaving.add(first.target.name);
    await test.endExchange(first);
    await test.endExchange(second);
    expect((await waiting).target.name).to.equal(second.target.name);
  });

  it('refuses at once where every target is leaving', async () => {
    const test = new ChooserHarness();
    test.regions[0]?.targets.forEach(({ name }) => test.leaving.add(name));
    const answer = await test.requestTarget();
    expect(answer).to.have.nested.property('left.reason', 'no-target');
  });

  it('starts slowly with a target that appears later', async () => {
    const test = new ChooserHarness({
      regions: [{ region: 'near', targets: 4, slots: 10, oneWayMs: 0 }],
    });
    const known = test.regions.map((region) => ({
      ...region,
      targets: region.targets.slice(0, 3),
    }));
    await test.endExchange(await test.chooseTarget({ plan: { ...test.plan, regions: known } }));
    await test.clock.advance(6_000);
    const choices = await Promise.all(Array.from({ length: 30 }, () => test.chooseTarget()));
    expect(choices.filter(({ target }) => target.name === 'near-3')).to.have.length(1);
    await Promise.all(choices.map((choice) => test.endExchange(choice)));
    await test.clock.advance(10_000);
    const later = await Promise.all(Array.from({ length: 40 }, () => test.chooseTarget()));
    expect(later.filter(({ target }) => target.name === 'near-3')).to.have.length(10);
  });
});
