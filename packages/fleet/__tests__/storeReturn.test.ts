/**
 * A store that returns from a snapshot, and the VMs that follow it and one another. Guards against VMs that stay with a
 * state that the store no longer has, that mix two histories, or that are registered nowhere.
 */
import { expect } from 'chai';
import { left, right } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import StoreEra from '@burdockcove/store/StoreEra';
import type PeerError from '@burdockcove/types/PeerError';
import FleetSizeRecorder from '../src/FleetSizeRecorder.js';
import MemberTable from '../src/MemberTable.js';
import MembershipLease from '../src/MembershipLease.js';
import PeerReads from '../src/PeerReads.js';
import StateAge from '../src/StateAge.js';
import StateFollower from '../src/StateFollower.js';
import StateReplica from '../src/StateReplica.js';
import SnapshotStore from './SnapshotStore.js';

const UNREACHABLE: PeerError = { _tag: 'PeerUnreachable', step: 's', peer: 'p', detail: '' };
const LOGGER = new Logger('silent', 'json');

/** One VM with what it has been told of the state. */
class ReturnVm {
  readonly era = new StoreEra();

  readonly values = new Map<string, string>();

  /** What the sink was told, in order. */
  readonly calls: string[] = [];

  readonly link = { isCut: false, responseMs: 0 };

  readonly members: MemberTable;

  readonly replica: StateReplica;

  readonly lease: MembershipLease;

  private readonly stop = new AbortController();

  constructor(
    readonly name: string,
    private readonly clock: FakeClock,
    store: SnapshotStore,
  ) {
    const stateAge = new StateAge(clock);
    this.members = new MemberTable(clock, {
      name,
      address: `${name}:1`,
      region: 'north',
      failureDomain: 'a',
    });
    this.replica = new StateReplica(this.buildSink(), stateAge, this.era);
    const own = store.connect(this.era, this.link);
    const registration = {
      key: `vm/${name}`,
      buildValue: () => name,
      readRegisteredAt: () => undefined,
    };
    const view = {
      findOwn: () => this.replica.findEntry(registration.key),
      hasApplied: (revision: number, inEra: number) => this.replica.hasApplied(revision, inEra),
    };
    const role = { shouldReadStore: () => true };
    const { replica, era, members } = this;
    const random = new Random(1);
    this.lease = new MembershipLease(
      own,
      registration,
      clock,
      LOGGER,
      () => replica.revision >= 0,
      view,
      era,
    );
    [
      new StateFollower(own, '', replica, role, clock, random, LOGGER, era),
      this.lease,
      new FleetSizeRecorder(own, 'size', members, stateAge, clock, LOGGER),
    ].forEach((task) => {
      task.run(this.stop.signal).catch(() => undefined);
    });
  }

  /** Reads the state from another VM; resolves with whether it was applied. */
  readFrom(peer: ReturnVm | null): Promise<boolean> {
    const reader = {
      readState: (_address: string, after: number, _timeoutMs: number, era: number) => async () =>
        peer === null ? left(UNREACHABLE) : right(peer.replica.buildPeerState(after, era)),
    };
    const { replica, clock } = this;
    const reads = new PeerReads({ replica, reader, clock, logger: LOGGER });
    return reads.read({ address: 'peer', maxAgeMs: 3500, timeoutMs: 100 });
  }

  end(): void {
    this.stop.abort();
  }

  private buildSink() {
    const applyRecord = (): void => {
      const size = Number(this.values.get('size') ?? 0);
      const revision = this.replica.findEntry('size')?.revision ?? 0;
      this.members.setRecord({ size: Number.isNaN(size) ? 0 : size, revision });
    };
    return {
      replaceState: (
        entries: readonly { readonly key: string; readonly value: string }[],
        isReturn: boolean,
      ): void => {
        this.calls.push(isReturn ? 'return' : 'replace');
        this.values.clear();
        entries.forEach(({ key, value }) => this.values.set(key, value));
        if (isReturn) {
          this.members.keepRecordedSize();
        }
        applyRecord();
      },
      applyEvent: (event: Parameters<StateReplica['applyEvent']>[0]): void => {
        if (event._tag === 'Put') {
          this.calls.push(event.entry.value);
          this.values.set(event.entry.key, event.entry.value);
        } else {
          this.values.delete(event.key);
        }
        applyRecord();
      },
      markStoreUnavailable: () => undefined,
      markStoreAvailable: () => undefined,
    };
  }
}

describe('a store that returns from a snapshot', () => {
  let clock: FakeClock;
  let store: SnapshotStore;
  let vms: ReturnVm[];

  async function startVm(name: string): Promise<ReturnVm> {
    const vm = new ReturnVm(name, clock, store);
    vms.push(vm);
    await clock.advance(1000);
    return vm;
  }

  beforeEach(() => {
    clock = new FakeClock();
    store = new SnapshotStore(clock);
    store.put('config', 'first');
    vms = [];
  });

  afterEach(() => vms.forEach((vm) => vm.end()));

  [false, true].forEach((hangs) => {
    const how = hangs ? 'hangs' : 'is refused';
    it(`is listed again within 1.5 s although its revision is lower, if the watch ${how}`, async () => {
      store.hangsUnknownRevisions = hangs;
      const vm = await startVm('a');
      const snapshot = store.takeSnapshot();
      ['1', '2', '3', '4', 'second'].forEach((value) => store.put('config', value));
      await clock.advance(3000);
      expect(vm.values.get('config')).to.equal('second');
      const { revision } = vm.replica;
      store.restore(snapshot);
      await clock.advance(1500);
      expect(vm.values.get('config')).to.equal('first');
      expect(vm.replica.era).to.equal(1);
      expect(vm.replica.revision).to.be.below(revision);
      expect(vm.calls.filter((call) => call === 'return')).to.have.length(1);
    });
  });

  // Guards against events of reused revisions: a watch must not take them for the continuation of its history.
  it('reports no change of reused revisions to a watch of the era before', async () => {
    const vm = await startVm('a');
    const snapshot = store.takeSnapshot();
    ['x', 'y', 'z'].forEach((value) => store.put('k', value));
    await clock.advance(3000);
    store.restore(snapshot);
    Array.from({ length: 9 }, (_, index) => store.put('other', `reused-${index}`));
    await clock.advance(3000);
    expect(vm.values.get('k')).to.equal(undefined);
    expect(vm.values.get('other')).to.equal('reused-8');
    const atReturn = vm.calls.indexOf('return');
    expect(vm.calls.slice(0, atReturn).filter((call) => call.startsWith('reused'))).to.deep.equal(
      [],
    );
  });

  it('is followed on after each of two returns in a row', async () => {
    const vm = await startVm('a');
    const snapshot = store.takeSnapshot();
    store.put('k', 'lost');
    await clock.advance(1000);
    store.restore(snapshot);
    store.put('k', 'lost again');
    await clock.advance(40);
    store.restore(snapshot);
    await clock.advance(2000);
    store.put('k', 'kept');
    await clock.advance(1000);
    expect(vm.values.get('k')).to.equal('kept');
    expect(vm.replica.era).to.equal(2);
  });

  [true, false].forEach((isInSnapshot) => {
    const where = isInSnapshot ? 'although the snapshot holds it' : 'which the snapshot lacks';
    it(`gets the registration again within 2 s, ${where}`, async () => {
      const empty = store.takeSnapshot();
      const vm = await startVm('a');
      const snapshot = isInSnapshot ? store.takeSnapshot() : empty;
      await clock.advance(2000);
      const sinceMs = vm.lease.getRegisteredSinceMs();
      store.restore(snapshot);
      const lower = store.takeSnapshot().revision;
      await clock.advance(2000);
      expect(store.read('vm/a')?.revision).to.be.above(lower);
      expect(vm.lease.getValidUntilMs()).to.be.above(clock.getMonotonicMs());
      expect(vm.lease.getRegisteredSinceMs()).to.equal(sinceMs);
    });
  });

  it('gets the registration under a new lease, since ids are issued again', async () => {
    const vm = await startVm('a');
    const snapshot = store.takeSnapshot();
    const other = await startVm('b');
    store.restore(snapshot);
    await clock.advance(2000);
    const leases = [vm, other].map(({ name }) => store.read(`vm/${name}`)?.lease);
    expect(new Set(leases).size).to.equal(2);
    expect(leases).not.to.include(1);
  });

  // Guards against an owner that goes on although its lease was lost and others may have taken over.
  it('ends the registration without a gap if it cannot be written in time', async () => {
    const empty = store.takeSnapshot();
    const vm = await startVm('a');
    await clock.advance(2000);
    const validUntilMs = vm.lease.getValidUntilMs();
    store.restore(empty);
    vm.link.isCut = true;
    vm.era.record(1);
    await clock.advance(3000);
    expect(vm.lease.getValidUntilMs()).to.equal(validUntilMs);
    await clock.advance(4000);
    vm.link.isCut = false;
    await clock.advance(1000);
    expect(vm.lease.getRegisteredSinceMs()).to.be.within(
      clock.getMonotonicMs() - 1000,
      clock.getMonotonicMs(),
    );
  });

  it('gets the size of the fleet again, and it divides the limits until then', async () => {
    const vm = await startVm('a');
    const snapshot = store.takeSnapshot();
    store.put('size', '12');
    await clock.advance(1000);
    expect(vm.members.getPeakMemberCount()).to.equal(12);
    store.restore(snapshot);
    await clock.advance(1500);
    expect(vm.values.get('size')).to.equal(undefined);
    expect(vm.members.getPeakMemberCount()).to.equal(12);
    await clock.advance(4000);
    expect(store.read('size')?.value).to.equal('{"members":12}');
  });

  it('has its state of the new era, and no other, at VMs that cannot reach it', async () => {
    const reaching = await startVm('a');
    const cut = await startVm('b');
    const late = await startVm('c');
    const snapshot = store.takeSnapshot();
    store.put('k', 'lost');
    await clock.advance(1000);
    [cut, late].forEach(({ link }) => Object.assign(link, { isCut: true }));
    store.restore(snapshot);
    store.put('k', 'written again');
    await clock.advance(2000);
    expect(cut.values.get('k')).to.equal('lost');
    expect(await cut.readFrom(reaching)).to.equal(true);
    expect(cut.values.get('k')).to.equal('written again');
    expect(cut.replica.era).to.equal(1);
    // The third VM still has the state of the era before, which must not revert the second.
    expect(await cut.readFrom(late)).to.equal(false);
    expect(cut.values.get('k')).to.equal('written again');
    expect(await late.readFrom(cut)).to.equal(true);
    expect(late.values.get('k')).to.equal('written again');
    store.put('k', 'later');
    await clock.advance(1000);
    expect(await late.readFrom(reaching)).to.equal(true);
    expect(late.calls.at(-1)).to.equal('later');
  });

  it('gives no effect to a response of the era before that comes late', async () => {
    const vm = await startVm('a');
    const other = await startVm('b');
    const snapshot = store.takeSnapshot();
    store.put('k', 'lost');
    await clock.advance(1000);
    vm.link.responseMs = 700;
    store.put('k', 'lost, too');
    await clock.advance(200);
    store.restore(snapshot);
    vm.link.responseMs = 0;
    await clock.advance(300);
    await vm.readFrom(other);
    expect([vm.replica.era, vm.values.get('k')]).to.deep.equal([1, undefined]);
    await clock.advance(3000);
    expect([vm.replica.era, vm.values.get('k')]).to.deep.equal([1, undefined]);
    expect(vm.calls.slice(vm.calls.indexOf('return'))).not.to.include('lost, too');
  });

  it('is taken as it is by a VM that starts', async () => {
    const snapshot = store.takeSnapshot();
    store.put('k', 'lost');
    store.restore(snapshot);
    const vm = await startVm('a');
    expect(vm.calls[0]).to.equal('replace');
    expect([vm.replica.era, vm.values.get('k')]).to.deep.equal([1, undefined]);
    expect(await vm.readFrom(null)).to.equal(false);
  });
});
