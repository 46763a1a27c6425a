/**
 * The choice of targets when some are slow, broken, shedding, leaving or new.
 */
import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import type AttemptResult from '../../src/AttemptResult.js';
import ChooserHarness from './ChooserHarness.js';

const BROKEN: Partial<AttemptResult> = { ended: 'broken', status: 0, latencyMs: 1 };

/** Sends requests one after another. Returns the number that each target received. */
async function sendRequests(
  harness: ChooserHarness,
  count: number,
  getResult: (target: string) => Partial<AttemptResult>,
): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const choice = await harness.chooseTarget();
    const { name } = choice.target;
    counts.set(name, (counts.get(name) ?? 0) + 1);
    await harness.endExchange(choice, getResult(name));
  }
  return counts;
}

function createFailures(...names: string[]): (target: string) => Partial<AttemptResult> {
  return (target) => (names.includes(target) ? BROKEN : {});
}

describe('evidence', () => {
  it('sends a slow target few requests, since it loses most comparisons', async () => {
    const harness = new ChooserHarness();
    const counts = await sendRequests(harness, 200, (target) => ({
      latencyMs: target === 'near-0' ? 100 : 10,
    }));
    expect(counts.get('near-0') ?? 0).to.be.at.most(20);
  });

  it('ejects the broken half of the targets and sends all requests to the others', async () => {
    const harness = new ChooserHarness();
    const getResult = createFailures('near-0', 'near-1');
    await sendRequests(harness, 60, getResult);
    const counts = await sendRequests(harness, 100, getResult);
    expect((counts.get('near-0') ?? 0) + (counts.get('near-1') ?? 0)).to.equal(0);
    await harness.registry.getMetricsAsJSON();
    expect(await harness.readMetric('burdockcove_ejection_ignored', {})).to.equal(0);
  });

  it('keeps sending when all targets are unhealthy, and reports that ejection is ignored', async () => {
    const harness = new ChooserHarness();
    const counts = await sendRequests(harness, 100, () => BROKEN);
    expect([...counts.values()].reduce((sum, count) => sum + count, 0)).to.equal(100);
    await harness.registry.getMetricsAsJSON();
    expect(await harness.readMetric('burdockcove_ejection_ignored', {})).to.equal(1);
  });

  it('restores targets that respond again after all were unhealthy', async () => {
    const harness = new ChooserHarness();
    await sendRequests(harness, 50, () => BROKEN);
    await sendRequests(harness, 50, () => ({}));
    await harness.clock.advance(60_000);
    await sendRequests(harness, 50, () => ({}));
    const { regions } = harness.chooser.describeChoice(harness.service, harness.plan);
    const conditions = regions[0]?.targets.map(({ condition }) => condition);
    expect(conditions).to.deep.equal(['healthy', 'healthy', 'healthy', 'healthy']);
  });

  it('sends an ejected target one trial request at a time, and restores it with slow start', async () => {
    const harness = new ChooserHarness({
      regions: [{ region: 'near', targets: 4, slots: 10, oneWayMs: 0 }],
    });
    await sendRequests(harness, 60, createFailures('near-0'));
    await harness.clock.advance(5_000);
    const first = await Promise.all(Array.from({ length: 31 }, () => harness.chooseTarget()));
    const trials = first.filter(({ target }) => target.name === 'near-0');
    expect(trials).to.have.length(1);
    await Promise.all(first.map((choice) => harness.endExchange(choice, { latencyMs: 0 })));
    const second = await Promise.all(Array.from({ length: 31 }, () => harness.chooseTarget()));
    expect(second.filter(({ target }) => target.name === 'near-0')).to.have.length(1);
  });

  it('does not count timeouts of short deadlines as failures of the targets', async () => {
    const harness = new ChooserHarness();
    await sendRequests(harness, 20, () => ({ latencyMs: 50 }));
    await sendRequests(harness, 100, () => ({ ended: 'timed-out', status: 0, latencyMs: 1 }));
    expect(await harness.readMetric('burdockcove_target_ejections_total', {})).to.equal(0);
  });

  it('backs off after a shed request, longer each time, up to a limit', async () => {
    const harness = new ChooserHarness({
      regions: [{ region: 'near', targets: 1, slots: 1, oneWayMs: 0 }],
    });
    const startMs = harness.clock.getMonotonicMs();
    let sheds = 0;
    while (harness.clock.getMonotonicMs() - startMs < 9_000) {
      const pending = harness.requestTarget({ deadlineAtMs: startMs + 20_000 });
      await harness.clock.advance(750);
      const answer = await pending;
      if (isRight(answer)) {
        sheds += 1;
        await harness.endExchange(answer.right, { ended: 'shed', status: 503, latencyMs: 0 });
      }
    }
    expect(sheds).to.be.within(10, 14);
  });

  it('sends few requests to shedding targets while others are healthy', async () => {
    const harness = new ChooserHarness();
    const shed = { ended: 'shed', status: 503, latencyMs: 1 } as const;
    const counts = await sendRequests(harness, 1_000, (target) =>
      target === 'near-0' || target === 'near-1' ? shed : {},
    );
    const sheds = (counts.get('near-0') ?? 0) + (counts.get('near-1') ?? 0);
    expect(sheds).to.be.at.most(100);
  });

  it('prefers untried targets, and returns to a tried one only when all were tried', async () => {
    const harness = new ChooserHarness({
      regions: [{ region: 'near', targets: 2, slots: 5, oneWayMs: 0 }],
    });
    for (let index = 0; index < 5; index += 1) {
      const choice = await harness.chooseTarget({ tried: ['near-0'] });
      expect(choice.target.name).to.equal('near-1');
    }
    const last = await harness.chooseTarget({ tried: ['near-0', 'near-1'] });
    expect(last.target.name).to.equal('near-0');
  });

  it('sends nothing to a leaving target, even if the plan is older', async () => {
    const harness = new ChooserHarness({
      regions: [{ region: 'near', targets: 2, slots: 1, oneWayMs: 0 }],
    });
    const first = await harness.chooseTarget();
    const second = await harness.chooseTarget();
    const waiting = harness.chooseTarget();
    harness.leaving.add(first.target.name);
    await harness.endExchange(first);
    await harness.endExchange(second);
    expect((await waiting).target.name).to.equal(second.target.name);
  });

  it('refuses a request at once when every target is leaving', async () => {
    const harness = new ChooserHarness();
    harness.regions[0]?.targets.forEach(({ name }) => harness.leaving.add(name));
    const answer = await harness.requestTarget();
    expect(answer).to.have.nested.property('left.reason', 'no-target');
  });

  it('applies slow start to a target that appears later', async () => {
    const harness = new ChooserHarness({
      regions: [{ region: 'near', targets: 4, slots: 10, oneWayMs: 0 }],
    });
    const known = harness.regions.map((region) => ({
      ...region,
      targets: region.targets.slice(0, 3),
    }));
    await harness.endExchange(
      await harness.chooseTarget({ plan: { ...harness.plan, regions: known } }),
    );
    await harness.clock.advance(6_000);
    const choices = await Promise.all(Array.from({ length: 30 }, () => harness.chooseTarget()));
    expect(choices.filter(({ target }) => target.name === 'near-3')).to.have.length(1);
    await Promise.all(choices.map((choice) => harness.endExchange(choice)));
    await harness.clock.advance(10_000);
    const later = await Promise.all(Array.from({ length: 40 }, () => harness.chooseTarget()));
    expect(later.filter(({ target }) => target.name === 'near-3')).to.have.length(10);
  });
});
