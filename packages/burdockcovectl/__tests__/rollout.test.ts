/**
 * Shifts and history as operators see them.
 */
import { expect } from 'chai';
import snapshot from 'snap-shot-it';
import parseTime from '../src/commands/parseTime.js';
import buildBench from './buildBench.js';

const KEY = 'state/shift/catalogue-tracks';
const routes = (steady: number) => [
  { targets: { track: 'steady' }, weight: steady },
  { targets: { track: 'new' }, weight: 1 - steady },
];

async function buildShift() {
  const bench = await buildBench();
  const record = {
    version: 1,
    selector: 'catalogue-tracks',
    ordered: routes(0.5),
    origin: routes(0.9),
    from: routes(0.9),
    to: routes(0.5),
    position: 0.25,
    status: 'moving',
    direction: 'forward',
    reason: 'errors and headroom stay within limits',
    configurationRevision: 2,
    orderRevision: 0,
    epoch: 4,
    updatedAt: '2026-12-04T05:00:00.000Z',
  };
  const decision = {
    _tag: 'Decision',
    at: '1970-01-01T00:10:00.000Z',
    by: '127.1.1.1:8080',
    what: 'shift catalogue-tracks: held forward at 25.0%',
    evidence: 'jatim near its limit: 11 of 12 requests',
    revision: 9,
    epoch: 4,
    expected: '',
    outcome: '',
  };
  const batch = { version: 1, id: '127.1.1.1:8080/1', sequence: 7, records: [decision] };
  await bench.store.commitTransaction({
    compares: [],
    puts: [
      { key: KEY, value: JSON.stringify(record) },
      { key: 'audit/000007', value: JSON.stringify(batch) },
    ],
    deletes: [],
  })();
  return bench;
}

describe('rollout', () => {
  it('shows the shares in force and ordered, and stores orders', async () => {
    const bench = await buildShift();
    const shown = await bench.run('ani', ['rollout']);
    snapshot(shown.lines);
    const ordered = await bench.run('ani', ['rollout', 'catalogue-tracks', 'hold']);
    expect(ordered._tag).to.equal('Done');
    const entry = await bench.store.readKey('state/shift-order/catalogue-tracks')();
    expect(JSON.stringify(entry)).to.contain('hold').and.to.contain('because');
    expect((await bench.run('ani', ['rollout', 'ledger-any']))._tag).to.equal('Refused');
    expect((await bench.run('ani', ['rollout', 'catalogue-tracks', 'stop']))._tag).to.equal(
      'Usage',
    );
  });

  it('proves an order whose answer was lost, and refuses the second of two at once', async () => {
    const bench = await buildShift();
    bench.store.loseAnswers(1);
    const lost = await bench.run('ani', ['rollout', 'catalogue-tracks', 'hold']);
    expect(lost._tag).to.equal('Done');
    const both = await Promise.all([
      bench.run('ani', ['rollout', 'catalogue-tracks', 'run']),
      bench.run('budi', ['rollout', 'catalogue-tracks', 'back']),
    ]);
    expect(both.map(({ _tag: tag }) => tag).sort()).to.deep.equal(['Done', 'Refused']);
  });
});

describe('history', () => {
  it('tells changes and decisions around a moment', async () => {
    const bench = await buildShift();
    const shown = await bench.run('ani', ['history'], { at: '00:11' });
    expect(shown.lines).to.deep.equal([]);
    await bench.clock.advance(20 * 60_000);
    snapshot((await bench.run('ani', ['history'], { at: '00:11' })).lines);
    expect((await bench.run('ani', ['history'], { since: '1m' })).lines).to.deep.equal([]);
    expect((await bench.run('ani', ['history'], { at: '25:00' }))._tag).to.equal('Usage');
  });

  it('reads a time of day as the last one that has passed', () => {
    const nowMs = Date.parse('2026-12-04T05:00:00Z');
    expect(parseTime('21:40', nowMs)).to.include({ value: Date.parse('2026-12-03T21:40:00Z') });
    expect(parseTime('4:59', nowMs)).to.include({ value: Date.parse('2026-12-04T04:59:00Z') });
    expect(parseTime('2h', nowMs)).to.include({ value: nowMs - 7_200_000 });
  });
});
