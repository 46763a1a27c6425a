/**
 * How long what a target says of itself holds: for the incarnation that said it, and no longer than it asked for.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import type Target from '@burdockcove/types/Target';
import NoticeRecorder from '../src/NoticeRecorder.js';
import TargetCatalogue from '../src/TargetCatalogue.js';
import type TargetRecord from '../src/TargetRecord.js';
import buildTargetRecord from './buildTargetRecord.js';

const MINUTE_MS = 60_000;
const YEAR_S = 31_536_000;
const LEAVING = { isLeaving: true, pauseMs: 0 };

describe('NoticeRecorder', () => {
  let clock: FakeClock;
  let catalogue: TargetCatalogue;
  let recorder: NoticeRecorder;
  let counted: string[];
  let target: Target;

  function put(changes: Partial<TargetRecord> = {}): void {
    const record = buildTargetRecord('t1', { startedAtMs: 100, ...changes });
    ({ target } = record);
    catalogue.putTarget(record);
  }

  function ask(pauseMs: number): void {
    recorder.recordNotice(target, { isLeaving: false, pauseMs });
  }

  beforeEach(() => {
    clock = new FakeClock();
    counted = [];
    catalogue = new TargetCatalogue(clock, () => 0);
    const logger = new Logger('silent', 'json');
    recorder = new NoticeRecorder(catalogue, logger, (kind) => counted.push(kind));
    put();
  });

  it('keeps a leaving target out over updates, a lapse of its entry and old reports, until a later start', () => {
    recorder.recordNotice(target, LEAVING);
    recorder.recordNotice(target, LEAVING);
    expect(recorder.isAvailable(target)).to.equal(false);
    put({ coldMs: 5 });
    expect(recorder.isAvailable(target)).to.equal(false);
    catalogue.removeTarget('t1');
    put();
    expect(catalogue.listUsable('desk')).to.deep.equal([]);
    put({ startedAtMs: 50 });
    expect(recorder.isAvailable(target)).to.equal(false);
    put({ startedAtMs: 101 });
    expect(recorder.isAvailable(target)).to.equal(true);
    expect(counted).to.deep.equal(['leaving']);
  });

  it('keeps a target out while its entry has lapsed as it says that it leaves', () => {
    catalogue.removeTarget('t1');
    recorder.recordNotice(target, LEAVING);
    put();
    expect(recorder.isAvailable(target)).to.equal(false);
  });

  it('holds a pause on the monotonic clock for as long as asked, and no shorter after a later answer', async () => {
    ask(3000);
    ask(200);
    clock.shiftWallClock(-MINUTE_MS);
    clock.shiftWallClock(2 * MINUTE_MS);
    await clock.advance(2999);
    expect(recorder.isAvailable(target)).to.equal(false);
    await clock.advance(1);
    expect(recorder.isAvailable(target)).to.equal(true);
  });

  it('ends a pause with a later start of the target', () => {
    ask(3000);
    put({ startedAtMs: 101 });
    expect(recorder.isAvailable(target)).to.equal(true);
  });

  it('limits a pause of a year to ten minutes', async () => {
    ask(YEAR_S * 1000);
    await clock.advance(10 * MINUTE_MS - 1);
    expect(recorder.isAvailable(target)).to.equal(false);
    await clock.advance(1);
    expect(recorder.isAvailable(target)).to.equal(true);
  });

  it('counts a notice that cannot be read, and does nothing else', () => {
    recorder.recordNotice(target, { isLeaving: false, pauseMs: 0, fault: 'Retry-After soon' });
    expect(recorder.isAvailable(target)).to.equal(true);
    expect(counted).to.deep.equal(['unreadable']);
  });
});
