/**
 * Roles: one writer at a time, whatever happens to leases, answers and processes.
 */
import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { isSome, type Option } from 'fp-ts/lib/Option.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import type HeldRole from '@burdockcove/store/HeldRole';
import buildFence from '@burdockcove/store/buildFence';
import PausableClock from '@burdockcove/standins/fleet/PausableClock';
import SeveredStore from '@burdockcove/standins/fleet/SeveredStore';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import StaticMembership from '../src/StaticMembership.js';
import LeaseRoleKeeper from '../src/roles/LeaseRoleKeeper.js';
import RendezvousCandidacy from '../src/roles/RendezvousCandidacy.js';

const logger = new Logger('silent', 'json');

describe('RendezvousCandidacy', () => {
  it('names three VMs a role, and none that does not know the others yet', () => {
    const vms = ['a', 'b', 'c', 'd', 'e'].map((name) => ({
      address: `${name}:1`,
      peerAddress: `${name}:2`,
      region: 'near',
      failureDomain: 'near-a',
    }));
    let informed = false;
    const candidacies = vms.map((self) => {
      const others = vms.filter((vm) => vm !== self);
      return new RendezvousCandidacy(new StaticMembership(self, others), 'near', () => informed);
    });
    const count = (): number => candidacies.filter((one) => one.isCandidate('shift')).length;
    expect(count()).to.equal(0);
    informed = true;
    expect(count()).to.equal(3);
  });
});

describe('LeaseRoleKeeper', () => {
  let clock: FakeClock;
  let store: StoreStandIn;
  let abort: AbortController;

  function startKeeper(holder: string, seed: number) {
    const own = new PausableClock(clock);
    const way = new SeveredStore(store);
    const candidacy = {
      candidate: true,
      isCandidate: () => candidacy.candidate,
      getHolder: () => holder,
    };
    const keeper = new LeaseRoleKeeper('shift', own, new Random(seed), logger, way, candidacy);
    const done = keeper.run(abort.signal);
    return { keeper, clock: own, store: way, candidacy, done };
  }

  async function writeAs(held: Option<HeldRole>, value: string): Promise<boolean> {
    if (!isSome(held)) {
      return false;
    }
    const compares = [buildFence(held.value)];
    const puts = [{ key: 'state/shift/x', value }];
    const result = await store.commitTransaction({ compares, puts, deletes: [] })();
    return isRight(result) && result.right.committed;
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

  it('gives the role to one of two candidates, and to the other when the first steps down', async () => {
    const [a, b] = [startKeeper('a', 1), startKeeper('b', 2)];
    await clock.advance(6_000);
    const holders = [a, b].filter(({ keeper }) => isSome(keeper.getHeldRole()));
    expect(holders).to.have.length(1);
    const [first] = holders;
    const held = first?.keeper.getHeldRole();
    if (first !== undefined) {
      first.candidacy.candidate = false;
    }
    await clock.advance(8_000);
    const second = first === a ? b : a;
    const next = second.keeper.getHeldRole();
    expect(isSome(first?.keeper.getHeldRole() ?? next)).to.equal(false);
    expect(isSome(next) && held !== undefined && isSome(held)).to.equal(true);
    if (isSome(next) && held !== undefined && isSome(held)) {
      expect(next.value.epoch).to.be.greaterThan(held.value.epoch);
    }
  });

  it('ends locally before the store could give the role to another', async () => {
    const a = startKeeper('a', 1);
    await clock.advance(2_000);
    a.store.setCut(true);
    const b = startKeeper('b', 2);
    for (let step = 0; step < 300; step += 1) {
      await clock.advance(100);
      const both = isSome(a.keeper.getHeldRole()) && isSome(b.keeper.getHeldRole());
      expect(both).to.equal(false);
    }
    expect(isSome(b.keeper.getHeldRole())).to.equal(true);
  });

  it('refuses the write of a holder that slept past its lease', async () => {
    const a = startKeeper('a', 1);
    await clock.advance(2_000);
    const stale = a.keeper.getHeldRole();
    expect(await writeAs(stale, 'first')).to.equal(true);
    a.clock.pause();
    const b = startKeeper('b', 2);
    await clock.advance(20_000);
    expect(await writeAs(b.keeper.getHeldRole(), 'second')).to.equal(true);
    expect(await writeAs(stale, 'late')).to.equal(false);
    expect(isSome(a.keeper.getHeldRole())).to.equal(false);
    a.clock.resume();
    await clock.advance(10_000);
    expect(isSome(a.keeper.getHeldRole())).to.equal(false);
    expect(isSome(b.keeper.getHeldRole())).to.equal(true);
  });

  it('finds out that it holds the role when the answer was lost', async () => {
    const a = startKeeper('a', 1);
    // The first answer lost is that of the grant, the second that of the transaction.
    store.loseAnswers(1);
    await clock.advance(3_000);
    expect(isSome(a.keeper.getHeldRole())).to.equal(false);
    const { commitTransaction } = store;
    let lost = 0;
    store.commitTransaction = (transaction) => {
      if (lost === 0) {
        store.loseAnswers(1);
        lost += 1;
      }
      return commitTransaction.call(store, transaction);
    };
    await clock.advance(5_000);
    expect(lost).to.equal(1);
    expect(await writeAs(a.keeper.getHeldRole(), 'x')).to.equal(true);
  });

  it('gives up when its lease lapses at the store, and acquires a new term', async () => {
    const a = startKeeper('a', 1);
    await clock.advance(2_000);
    const before = a.keeper.getHeldRole();
    store.lapseLeases();
    expect(await writeAs(before, 'x')).to.equal(false);
    await clock.advance(12_000);
    const after = a.keeper.getHeldRole();
    expect(await writeAs(after, 'x')).to.equal(true);
  });
});
