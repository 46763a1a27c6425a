/**
 * The etcd adapter against the store stand-in's gateway.
 */
import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import * as O from 'fp-ts/lib/Option.js';
import SystemClock from '@burdockcove/runtime/SystemClock';
import StoreServer from '@burdockcove/standins/store/StoreServer';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import EtcdStore from '../src/EtcdStore.js';
import type StoreEvent from '../src/StoreEvent.js';

const TIMEOUT_MS = 400;

function buildPut(key: string, value: string, revision = 0) {
  return { compares: [{ key, revision }], puts: [{ key, value }], deletes: [] };
}

describe('EtcdStore', () => {
  let standIn: StoreStandIn;
  let server: StoreServer;
  let address: string;
  let store: EtcdStore;
  const clock = new SystemClock();

  beforeEach(async () => {
    standIn = new StoreStandIn(clock, { writesPerSecond: 20 });
    server = new StoreServer(standIn);
    address = await server.start('127.0.0.1', 0);
    store = new EtcdStore(clock, [`http://${address}`], 'burdockcove/', TIMEOUT_MS);
  });

  afterEach(async () => {
    await store.close();
    await server.stop();
  });

  it('writes by compare-and-swap, reads and lists under its prefix', async () => {
    const put = await store.commitTransaction(buildPut('state/é', 'ö'))();
    expect(put).to.deep.equal(E.right({ committed: true, revision: 2 }));
    const again = await store.commitTransaction(buildPut('state/é', 'x'))();
    expect(again).to.deep.equal(E.right({ committed: false, revision: 2 }));
    const entry = { key: 'state/é', value: 'ö', revision: 2 };
    expect(await store.readKey('state/é')()).to.deep.equal(E.right(O.some(entry)));
    expect(await store.readKey('state/none')()).to.deep.equal(E.right(O.none));
    const list = await store.listKeys('state/')();
    expect(list).to.deep.equal(E.right({ entries: [entry], revision: 2 }));
    const newer = await store.listKeys('state/', 10, 3)();
    expect(newer).to.deep.equal(E.right({ entries: [], revision: 2 }));
    const stored = await standIn.readKey('burdockcove/state/é')();
    expect(E.isRight(stored) && O.isSome(stored.right)).to.equal(true);
  });

  it('deletes the keys of a revoked lease', async () => {
    const lease = await store.grantLease(10)();
    const leaseId = E.isRight(lease) ? lease.right : '';
    const put = { key: 'roles/a', value: 'me', leaseId };
    await store.commitTransaction({ compares: [], puts: [put], deletes: [] })();
    expect(await store.keepAlive(leaseId)()).to.deep.equal(E.right(10));
    await store.revokeLease(leaseId)();
    expect(await store.readKey('roles/a')()).to.deep.equal(E.right(O.none));
    expect(await store.keepAlive(leaseId)()).to.deep.equal(E.right(0));
  });

  it('distinguishes a lost answer, a refusal and an outage', async () => {
    standIn.loseAnswers(1);
    const lost = await store.commitTransaction(buildPut('state/a', '1'))();
    expect(E.isLeft(lost) && lost.left._tag).to.equal('StoreAnswerLost');
    const applied = await store.readKey('state/a')();
    expect(E.isRight(applied) && O.isSome(applied.right)).to.equal(true);
    standIn.setDelay(TIMEOUT_MS * 2);
    const slow = await store.commitTransaction(buildPut('state/b', '1'))();
    expect(E.isLeft(slow) && slow.left._tag).to.equal('StoreAnswerLost');
    const slowRead = await store.readKey('state/b')();
    expect(E.isLeft(slowRead) && slowRead.left._tag).to.equal('StoreUnavailable');
    standIn.setDelay(0);
    const writes = Array.from({ length: 40 }, (_, index) =>
      store.commitTransaction(buildPut(`state/k${index}`, '1'))(),
    );
    const tags = (await Promise.all(writes)).map((write) =>
      E.isLeft(write) ? write.left._tag : 'ok',
    );
    expect(new Set(tags)).to.deep.equal(new Set(['ok', 'StoreRefused']));
    standIn.setDown(true);
    const down = await store.commitTransaction(buildPut('state/c', '1'))();
    expect(E.isLeft(down) && down.left._tag).to.be.oneOf(['StoreUnavailable', 'StoreAnswerLost']);
  });

  it('rejects values above a megabyte', async () => {
    const put = await store.commitTransaction(buildPut('state/a', 'x'.repeat(1_048_577)))();
    expect(E.isLeft(put) && put.left._tag).to.equal('StoreRefused');
  });

  it('watches from a revision, reports deletions and an interrupted watch', async () => {
    await store.commitTransaction(buildPut('state/a', '1'))();
    const events: StoreEvent[] = [];
    const done = store.watchPrefix(
      'state/',
      2,
      (event) => events.push(event),
      new AbortController().signal,
    )();
    while (standIn.meter.getOpenWatches() === 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    await store.commitTransaction({ compares: [], puts: [], deletes: ['state/a'] })();
    while (events.length < 2) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    standIn.cutWatches();
    const ended = await done;
    expect(events).to.deep.equal([
      { _tag: 'Put', entry: { key: 'state/a', value: '1', revision: 2 } },
      { _tag: 'Delete', key: 'state/a', revision: 3 },
    ]);
    expect(E.isLeft(ended) && ended.left._tag).to.equal('StoreUnavailable');
  });

  it('returns StoreRefused if a watch starts at a compacted revision', async () => {
    await store.commitTransaction(buildPut('state/a', '1'))();
    standIn.compactHistory();
    const { signal } = new AbortController();
    const ended = await store.watchPrefix('state/', 1, () => undefined, signal)();
    expect(E.isLeft(ended) && ended.left._tag).to.equal('StoreRefused');
  });

  it('tries the next endpoint if one refuses connections', async () => {
    const endpoints = ['http://127.0.0.1:1', `http://${address}`];
    const other = new EtcdStore(clock, endpoints, 'burdockcove/', TIMEOUT_MS);
    const put = await other.commitTransaction(buildPut('state/a', '1'))();
    expect(E.isRight(put)).to.equal(true);
    await other.close();
  });
});
