/**
 * The two objectives, and links between regions.
 */
import { expect } from 'chai';
import type Choice from '../../src/Choice.js';
import ChooserHarness from './ChooserHarness.js';

const REGIONS = [
  { region: 'near', targets: 5, slots: 2, oneWayMs: 0 },
  { region: 'far', targets: 5, slots: 2, oneWayMs: 20 },
];

/** Holds `count` requests for a while, so that the use of regions settles. */
async function holdMany(test: ChooserHarness, count: number): Promise<readonly Choice[]> {
  const choices: Choice[] = [];
  for (let index = 0; index < count; index += 1) {
    choices.push(await test.chooseTarget());
    await test.clock.advance(1_000);
  }
  return choices;
}

function countIn(choices: readonly Choice[], region: string): number {
  return choices.filter((choice) => choice.region === region).length;
}

describe('regions', () => {
  it('fills the nearest region first for latency', async () => {
    const test = new ChooserHarness({ regions: REGIONS });
    const choices = await holdMany(test, 10);
    expect(countIn(choices, 'near')).to.equal(10);
    expect((await test.chooseTarget()).region).to.equal('far');
  });

  it('spreads before the nearest region is full for headroom', async () => {
    const test = new ChooserHarness({ regions: REGIONS, service: { objective: 'headroom' } });
    const choices = await holdMany(test, 10);
    expect(countIn(choices, 'near')).to.be.within(7, 9);
  });

  it('waits for the nearest region where that is shorter than the way to a farther one', async () => {
    const test = new ChooserHarness({ regions: REGIONS });
    for (let index = 0; index < 5; index += 1) {
      await test.endExchange(await test.chooseTarget(), { latencyMs: 10 });
    }
    const held = await Promise.all(Array.from({ length: 10 }, () => test.chooseTarget()));
    const waiting = test.chooseTarget();
    await test.endExchange(held[0] as Choice, { latencyMs: 5 });
    expect((await waiting).region).to.equal('near');
  });

  it('charges a link what was expected, then what was sent', async () => {
    const calls: string[] = [];
    const test = new ChooserHarness({
      regions: [{ region: 'near', targets: 0, slots: 0, oneWayMs: 0 }, ...REGIONS.slice(1)],
      link: {
        reserveBytes: (from, to, bytes) => calls.push(`${from} ${to} ${String(bytes)}`) > 0,
        settleBytes: (from, to, reserved, used) => {
          calls.push(`${from} ${to} ${String(reserved)} ${String(used)}`);
        },
        estimateWaitMs: () => 0,
      },
    });
    await test.endExchange(await test.chooseTarget(), { receivedBytes: 1_500 });
    expect(calls).to.deep.equal(['far near 1000', 'far near 1000 1500']);
  });

  it('waits for bandwidth, without holding a slot', async () => {
    let budget = 0;
    const test = new ChooserHarness({
      regions: [{ region: 'near', targets: 0, slots: 0, oneWayMs: 0 }, ...REGIONS.slice(1)],
      link: {
        reserveBytes: (_from, _to, bytes) => bytes <= budget,
        settleBytes: () => undefined,
        estimateWaitMs: () => 1,
      },
    });
    const waiting = test.chooseTarget();
    await test.clock.advance(100);
    expect(test.ledger.countFree('far-0')).to.equal(2);
    budget = 1_000;
    await test.clock.advance(10);
    expect((await waiting).region).to.equal('far');
  });
});
