/**
 * Following of the store over cuts, lost history and outages.
 */
import { expect } from 'chai';
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import type Store from '@burdockcove/store/Store';
import type StoreError from '@burdockcove/types/StoreError';
import StateFollower from '../src/StateFollower.js';

type Listed = Either<StoreError, { entries: never[]; revision: number }>;
type Watched = Either<StoreError, void>;

const unavailable: StoreError = { _tag: 'StoreUnavailable', step: 's', peer: 'p', detail: '' };
const refused: StoreError = { ...unavailable, _tag: 'StoreRefused' };

/** Follows a store that answers by the script until the script has ended. */
async function follow(lists: Listed[], watches: Watched[]): Promise<readonly string[]> {
  const seen: string[] = [];
  const clock = new FakeClock();
  const stop = new AbortController();
  const store = {
    listKeys: () => async () => {
      const next = lists.shift() ?? left(unavailable);
      seen.push(`list ${next._tag}`);
      return next;
    },
    watchPrefix:
      (
        _prefix: string,
        from: number,
        _onEvent: unknown,
        signal: AbortSignal,
        onAnswered?: () => void,
      ) =>
      async () => {
        const next = watches.shift();
        seen.push(`watch from ${from}`);
        if (next === undefined) {
          stop.abort();
          return right(undefined);
        }
        if (!signal.aborted && next._tag === 'Right') {
          onAnswered?.();
        }
        return next;
      },
  } as unknown as Store;
  const sink = {
    replaceState: () => seen.push('state'),
    applyEvent: () => undefined,
    markStoreUnavailable: () => seen.push('lost'),
    markStoreAvailable: () => seen.push('regained'),
  };
  const logger = new Logger('silent', 'json');
  const running = new StateFollower(store, '', sink, clock, new Random(1), logger).run(stop.signal);
  for (let step = 0; step < 50 && !stop.signal.aborted; step += 1) {
    await clock.advance(400);
  }
  stop.abort();
  await clock.advance(400);
  await running;
  return seen;
}

describe('StateFollower', () => {
  const listed = (revision: number): Listed => right({ entries: [], revision });

  it('watches on from where it was when a watch is cut once', async () => {
    expect(await follow([listed(7)], [left(unavailable)])).to.deep.equal([
      'list Right',
      'state',
      'watch from 8',
      'watch from 8',
    ]);
  });

  it('lists again when the history is gone', async () => {
    expect(await follow([listed(7), listed(9)], [left(refused)])).to.deep.equal([
      'list Right',
      'state',
      'watch from 8',
      'list Right',
      'state',
      'watch from 10',
    ]);
  });

  it('tells of a loss after two failures, and of the return', async () => {
    const watches = [left(unavailable), left(unavailable), right(undefined)];
    const seen = await follow([listed(7)], watches);
    expect(seen.filter((word) => word === 'lost' || word === 'regained')).to.deep.equal([
      'lost',
      'regained',
    ]);
  });

  it('never takes an older state than it has', async () => {
    const seen = await follow([listed(9), listed(4), listed(9)], [left(refused)]);
    expect(seen.filter((word) => word === 'state')).to.have.length(2);
  });
});
