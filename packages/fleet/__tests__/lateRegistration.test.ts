/**
 * Registrations that the store does late, or not at all, without an answer. Guards against a VM that goes on as a member,
 * and as an owner of quotas, although its entry is not in the store, or has not been there for as long as it believes.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import MembershipLease from '../src/MembershipLease.js';
import StateAge from '../src/StateAge.js';
import StateReplica from '../src/StateReplica.js';
import LateStore from './LateStore.js';

const KEY = 'entry/vm';
const LOGGER = new Logger('silent', 'json');
/** Time until a VM knows of a change in the store. */
const LAG_MS = 150;
const STEP_MS = 20;
const SEEDS = 150;

/** A process of the VM, which follows the store from its start on. */
class VmProcess {
  readonly lease: MembershipLease;

  private readonly replica: StateReplica;

  private readonly stop = new AbortController();

  constructor(
    private readonly clock: FakeClock,
    store: LateStore,
  ) {
    const sink = {
      replaceState: () => undefined,
      applyEvent: () => undefined,
      markStoreUnavailable: () => undefined,
      markStoreAvailable: () => undefined,
    };
    this.replica = new StateReplica(sink, new StateAge(clock));
    const { replica } = this;
    const own = store.read(KEY);
    replica.replaceState(own === undefined ? [] : [own], own?.revision ?? 0);
    const registration = {
      key: KEY,
      buildValue: (registeredAtMs: number) => String(registeredAtMs),
      readRegisteredAt: Number,
    };
    const view = {
      findOwn: () => replica.findEntry(KEY),
      hasApplied: (revision: number, era: number) => replica.hasApplied(revision, era),
    };
    this.lease = new MembershipLease(
      store.connect(),
      registration,
      clock,
      LOGGER,
      () => true,
      view,
    );
    this.lease.run(this.stop.signal).catch(() => undefined);
  }

  receive(event: StoreEvent): void {
    this.clock.startTimer(LAG_MS, () => this.replica.applyEvent(event));
  }

  /** Ends as by SIGKILL: what it has requested goes on. */
  kill(): void {
    this.stop.abort();
  }
}

describe('registrations that the store does late', () => {
  let clock: FakeClock;
  let store: LateStore;
  let vm: VmProcess;

  function startVm(): void {
    vm = new VmProcess(clock, store);
    store.onEvent = (event) => vm.receive(event);
  }

  /** Whether the process may act as a member. */
  function isMember(): boolean {
    const { lease } = vm;
    const nowMs = clock.getMonotonicMs();
    return lease.getRegisteredSinceMs() <= nowMs && lease.getValidUntilMs() > nowMs;
  }

  /** Lets time pass, and checks that a VM that counts as a member is one, for as long as it believes. */
  async function check(ms: number): Promise<void> {
    for (let leftMs = ms; leftMs > 0; leftMs -= STEP_MS) {
      await clock.advance(STEP_MS);
      if (isMember()) {
        const sinceMs = store.getSinceMs(KEY);
        expect(sinceMs).to.be.at.most(vm.lease.getRegisteredSinceMs(), `at ${clock.getWallMs()}`);
      }
    }
  }

  beforeEach(() => {
    clock = new FakeClock();
    store = new LateStore(clock);
  });

  afterEach(() => vm.kill());

  it('keeps its entry when its first write is done after its second one', async () => {
    store.delaysMs = [2500];
    startVm();
    await check(12_000);
    expect(isMember()).to.equal(true);
  });

  it('keeps its entry when the first write of a killed process is done after its own', async () => {
    store.delaysMs = [2500];
    startVm();
    await clock.advance(200);
    vm.kill();
    startVm();
    await check(12_000);
    expect(isMember()).to.equal(true);
  });

  it('is not registered any more when a write is done after its planned stop', async () => {
    store.delaysMs = [2500];
    startVm();
    await clock.advance(200);
    await Promise.all([vm.lease.deregister(), clock.advance(50)]);
    await clock.advance(2500);
    expect(store.read(KEY)).to.equal(undefined);
  });

  it('does not count as registered before the late write of an earlier process was done', async () => {
    store.delaysMs = [2500];
    startVm();
    await clock.advance(200);
    vm.kill();
    await clock.advance(2400);
    startVm();
    await check(3000);
    expect(isMember()).to.equal(true);
  });

  it('counts as lost as soon as it knows that another writer has replaced its entry', async () => {
    startVm();
    await clock.advance(2000);
    store.put(KEY, '0', store.grant(1000));
    await clock.advance(LAG_MS + STEP_MS);
    expect(isMember()).to.equal(false);
    await check(6000);
    expect(isMember()).to.equal(true);
  });

  it(`keeps all of this in ${SEEDS} random successions of lost writes, kills and starts`, async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      clock = new FakeClock();
      store = new LateStore(clock);
      const random = new Random(seed);
      const drawDelay = (): number | null =>
        [null, 5, 1000 + random.nextInt(5000), Infinity][random.nextInt(4)] ?? null;
      store.delaysMs = Array.from({ length: 12 }, drawDelay);
      startVm();
      for (let start = 0; start < 5; start += 1) {
        await check(random.nextInt(4000));
        vm.kill();
        await clock.advance(random.nextInt(1500));
        startVm();
      }
      await check(20_000);
      expect(isMember()).to.equal(true, `seed ${seed}`);
      vm.kill();
    }
  }).timeout(60_000);
});
