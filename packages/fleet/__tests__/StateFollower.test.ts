/**
 * StateFollower when watches are interrupted, the history is compacted, or the store is unavailable.
 */
import { expect } from 'chai';
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import type Store from '@burdockcove/store/Store';
import type StoreError from '@burdockcove/types/StoreError';
import StateAge from '../src/StateAge.js';
import StateFollower from '../src/StateFollower.js';
import StateReplica from '../src/StateReplica.js';

type Listed = Either<StoreError, { entries: never[]; revision: number }>;
type Watched = Either<StoreError, void>;

const unavailable: StoreError = { _tag: 'StoreUnavailable', step: 's', peer: 'p', detail: '' };
const refused: StoreError = { ...unavailable, _tag: 'StoreRefused' };

/** Runs a follower against scripted responses until the script ends; returns the calls in order. */
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
  const role = { shouldReadStore: () => true };
  const replica = new StateReplica(sink, new StateAge(clock));
  const follower = new StateFollower(store, '', replica, role, clock, new Random(1), logger);
  const running = follower.run(stop.signal);
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

  it('resumes the watch at the next revision after one interruption', async () => {
    expect(await follow([listed(7)], [left(unavailable)])).to.deep.equal([
      'list Right',
      'state',
      'watch from 8',
      'watch from 8',
    ]);
  });

  it('lists again when the store no longer keeps the history', async () => {
    expect(await follow([listed(7), listed(9)], [left(refused)])).to.deep.equal([
      'list Right',
      'state',
      'watch from 8',
      'list Right',
      'state',
      'watch from 10',
    ]);
  });

  it('reports the store unavailable after two failures, and available once it answers', async () => {
    const watches = [left(unavailable), left(unavailable), right(undefined)];
    const seen = await follow([listed(7)], watches);
    expect(seen.filter((word) => word === 'lost' || word === 'regained')).to.deep.equal([
      'lost',
      'regained',
    ]);
  });

  it('ignores a list with a revision older than its own', async () => {
    const seen = await follow([listed(9), listed(4), listed(9)], [left(refused)]);
    expect(seen.filter((word) => word === 'state')).to.have.length(2);
  });
});
