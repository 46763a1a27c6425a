/**
 * The choice of a region under the two objectives, and the bandwidth of links between regions.
 */
import { expect } from 'chai';
import type Choice from '../../src/Choice.js';
import ChooserHarness from './ChooserHarness.js';

const REGIONS = [
  { region: 'near', targets: 5, slots: 2, oneWayMs: 0 },
  { region: 'far', targets: 5, slots: 2, oneWayMs: 20 },
];

/** Sends `count` requests a second apart without ending them, so that the average utilization follows. */
async function holdChoices(harness: ChooserHarness, count: number): Promise<readonly Choice[]> {
  const choices: Choice[] = [];
  for (let index = 0; index < count; index += 1) {
    choices.push(await harness.chooseTarget());
    await harness.clock.advance(1_000);
  }
  return choices;
}

function countInRegion(choices: readonly Choice[], region: string): number {
  return choices.filter((choice) => choice.region === region).length;
}

describe('regions', () => {
  it('fills the nearest region first for the objective latency', async () => {
    const harness = new ChooserHarness({ regions: REGIONS });
    const choices = await holdChoices(harness, 10);
    expect(countInRegion(choices, 'near')).to.equal(10);
    expect((await harness.chooseTarget()).region).to.equal('far');
  });

  it('uses farther regions before the nearest is full for the objective headroom', async () => {
    const harness = new ChooserHarness({ regions: REGIONS, service: { objective: 'headroom' } });
    const choices = await holdChoices(harness, 10);
    expect(countInRegion(choices, 'near')).to.be.within(7, 9);
  });

  it('waits for the nearest region if that is faster than the way to a farther one', async () => {
    const harness = new ChooserHarness({ regions: REGIONS });
    for (let index = 0; index < 5; index += 1) {
      await harness.endExchange(await harness.chooseTarget(), { latencyMs: 10 });
    }
    const held = await Promise.all(Array.from({ length: 10 }, () => harness.chooseTarget()));
    const waiting = harness.chooseTarget();
    await harness.endExchange(held[0] as Choice, { latencyMs: 5 });
    expect((await waiting).region).to.equal('near');
  });

  it('reserves the expected bytes on a link, and settles them with the bytes received', async () => {
    const calls: string[] = [];
    const harness = new ChooserHarness({
      regions: [{ region: 'near', targets: 0, slots: 0, oneWayMs: 0 }, ...REGIONS.slice(1)],
      link: {
        reserveBytes: (from, to, bytes) => calls.push(`${from} ${to} ${String(bytes)}`) > 0,
        settleBytes: (from, to, reserved, used) => {
          calls.push(`${from} ${to} ${String(reserved)} ${String(used)}`);
        },
        estimateWaitMs: () => 0,
      },
    });
    await harness.endExchange(await harness.chooseTarget(), { receivedBytes: 1_500 });
    expect(calls).to.deep.equal(['far near 1000', 'far near 1000 1500']);
  });

  it('waits for link bandwidth without holding a slot', async () => {
    let budget = 0;
    const harness = new ChooserHarness({
      regions: [{ region: 'near', targets: 0, slots: 0, oneWayMs: 0 }, ...REGIONS.slice(1)],
      link: {
        reserveBytes: (_from, _to, bytes) => bytes <= budget,
        settleBytes: () => undefined,
        estimateWaitMs: () => 1,
      },
    });
    const waiting = harness.chooseTarget();
    await harness.clock.advance(100);
    expect(harness.ledger.countFree('far-0')).to.equal(2);
    budget = 1_000;
    await harness.clock.advance(10);
    expect((await waiting).region).to.equal('far');
  });
});
