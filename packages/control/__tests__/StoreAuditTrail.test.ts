/**
 * The audit trail: bounded, within the write budget, readable by anyone afterwards.
 */
import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import type AuditRecord from '@burdockcove/types/AuditRecord';
import StoreAuditTrail from '../src/audit/StoreAuditTrail.js';
import readAuditTrail from '../src/audit/readAuditTrail.js';

const logger = new Logger('silent', 'json');

function buildDecision(what: string): AuditRecord {
  const at = '2026-12-04T21:40:00Z';
  return {
    _tag: 'Decision',
    at,
    by: 'a',
    what,
    evidence: '',
    revision: 1,
    epoch: 1,
    expected: '',
    outcome: '',
  };
}

describe('StoreAuditTrail', () => {
  let clock: FakeClock;
  let store: StoreStandIn;
  let abort: AbortController;

  function startTrail(writer: string, seed: number, registry = new Registry()): StoreAuditTrail {
    const trail = new StoreAuditTrail(clock, new Random(seed), logger, store, writer, registry);
    trail.run(abort.signal).catch(() => undefined);
    return trail;
  }

  async function readWhats(): Promise<readonly string[]> {
    const records = await readAuditTrail(store)();
    return isRight(records)
      ? records.right.map((record) => (record._tag === 'Decision' ? record.what : ''))
      : [];
  }

  beforeEach(() => {
    clock = new FakeClock();
    store = new StoreStandIn(clock);
    abort = new AbortController();
  });

  afterEach(async () => {
    abort.abort();
    await clock.advance(0);
  });

  it('keeps the decisions of two writers, also across a lost answer, each once', async () => {
    const [a, b] = [startTrail('a', 1), startTrail('b', 2)];
    store.loseAnswers(1);
    for (let index = 0; index < 10; index += 1) {
      a.recordDecision(buildDecision(`a${index}`));
      b.recordDecision(buildDecision(`b${index}`));
      await clock.advance(1_000);
    }
    await clock.advance(10_000);
    const whats = await readWhats();
    expect(whats.filter((what) => what.startsWith('a'))).to.deep.equal(
      Array.from({ length: 10 }, (_, index) => `a${index}`),
    );
    expect([...whats].sort()).to.have.length(20);
    expect(store.meter.getCounts().get('commit')).to.be.at.most(24);
  });

  it('drops the oldest of a long outage, counts them, and writes the rest afterwards', async () => {
    const registry = new Registry();
    const trail = startTrail('a', 1, registry);
    store.setDown(true);
    for (let index = 0; index < 1_200; index += 1) {
      trail.recordDecision(buildDecision(`d${index}`));
    }
    await clock.advance(3_600_000);
    store.setDown(false);
    await clock.advance(120_000);
    const whats = await readWhats();
    expect(whats.at(0)).to.equal('d200');
    expect(whats.at(-1)).to.equal('d1199');
    expect(await registry.metrics()).to.contain('burdockcove_audit_dropped_total 200');
  });

  it('overwrites the oldest batches and stays bounded', async () => {
    const trail = startTrail('a', 1);
    for (let index = 0; index < 300; index += 1) {
      trail.recordDecision(buildDecision(`d${index}`));
      await clock.advance(2_500);
    }
    const whats = await readWhats();
    expect(whats.length).to.be.at.most(257);
    expect(whats.at(-1)).to.equal('d299');
  });
});
