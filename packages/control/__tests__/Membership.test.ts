/**
 * Membership of a fleet: losses, returns, planned leaves and a faulty VM list.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import FleetStandIn from '@burdockcove/standins/fleet/FleetStandIn';
import type Member from '@burdockcove/types/Member';
import buildPlaces from './support/buildPlaces.js';

describe('membership', () => {
  let clock: FakeClock;
  let fleet: FleetStandIn;

  const getView = (index: number): readonly Member[] =>
    fleet.nodes[index]?.plane?.membership.getMembers() ?? [];
  const countReachable = (index: number): number =>
    getView(index).filter(({ reachable }) => reachable).length;
  const runningIndexes = (): readonly number[] =>
    fleet.nodes.flatMap((node, index) => (node.isRunning() ? [index] : []));

  beforeEach(async () => {
    clock = new FakeClock();
    fleet = new FleetStandIn({ clock, seed: 7 }, buildPlaces(12));
    fleet.startAll();
    await clock.advance(3_000);
  });

  afterEach(async () => {
    fleet.killAll();
    await clock.advance(0);
  });

  it('finds a whole failure domain gone, and drops its VMs once the list does', async () => {
    const lost = fleet.nodes.filter(({ vm }) => vm.failureDomain === 'near-a');
    lost.forEach((node) => node.kill());
    await clock.advance(20_000);
    runningIndexes().forEach((index) => expect(countReachable(index)).to.equal(10));
    lost.forEach(({ vm }) => fleet.vmList.removeVm(vm.address));
    await clock.advance(10_000);
    runningIndexes().forEach((index) => expect(getView(index)).to.have.length(10));
  });

  it('takes restarted VMs back, all at once too, without growing calls of the store', async () => {
    const before = fleet.store.meter.getOpenWatches();
    fleet.nodes.forEach((node) => node.kill());
    await clock.advance(1_000);
    fleet.startAll();
    await clock.advance(10_000);
    runningIndexes().forEach((index) => expect(countReachable(index)).to.equal(12));
    expect(fleet.store.meter.getOpenWatches()).to.equal(before);
  });

  it('hears of a planned leave before the list shows it', async () => {
    fleet.nodes[3]?.plane?.membership.startLeaving();
    await clock.advance(500);
    const address = fleet.nodes[3]?.vm.address;
    runningIndexes().forEach((index) => {
      const member = getView(index).find((one) => one.address === address);
      expect(member?.state).to.equal('leaving');
    });
  });

  it('keeps every VM that it hears while the list is down, empty or flapping', async () => {
    const all = fleet.vmList.getTrueVms();
    fleet.vmList.setVms([]);
    await clock.advance(10_000);
    fleet.vmList.setVms(all.slice(0, 3));
    await clock.advance(10_000);
    fleet.vmList.setDown(true);
    await clock.advance(10_000);
    runningIndexes().forEach((index) => expect(countReachable(index)).to.equal(12));
  });

  it('does not accuse others after its own pause, and is itself taken back', async () => {
    const [paused] = fleet.nodes;
    paused?.clock.pause();
    fleet.network.setCut((from, to) => [from, to].includes(paused?.vm.peerAddress ?? ''));
    await clock.advance(60_000);
    expect(countReachable(1)).to.equal(11);
    fleet.network.setCut(() => false);
    paused?.clock.resume();
    await clock.advance(15_000);
    runningIndexes().forEach((index) => expect(countReachable(index)).to.equal(12));
  });

  it('heals after regions lost each other', async () => {
    const near = new Set(
      fleet.nodes.filter(({ vm }) => vm.region === 'near').map(({ vm }) => vm.peerAddress),
    );
    fleet.network.setCut((from, to) => near.has(from) !== near.has(to));
    await clock.advance(120_000);
    expect(countReachable(0)).to.equal(4);
    expect(countReachable(1)).to.equal(8);
    fleet.network.setCut(() => false);
    await clock.advance(45_000);
    runningIndexes().forEach((index) => expect(countReachable(index)).to.equal(12));
  });

  it('counts a target as leaving when the list says so or drops it, but not when it drops most', async () => {
    const address = (number: number): string => `127.0.9.${number}:80`;
    const targets = [1, 2, 3, 4, 5].map((number) => ({
      address: address(number),
      kind: 'target' as const,
      failureDomain: 'near-a',
      state: 'live' as const,
    }));
    const entries = fleet.vmList.getTrueVms();
    fleet.vmList.setVms([...entries, ...targets]);
    await clock.advance(4_000);
    const isLeaving = (number: number): boolean =>
      fleet.nodes[0]?.plane?.membership.isTargetLeaving(address(number)) ?? false;
    expect([1, 2, 3, 4, 5].map(isLeaving)).to.deep.equal([false, false, false, false, false]);
    const changed = targets.slice(0, 4).map((vm, index) => ({
      ...vm,
      state: index === 0 ? ('leaving' as const) : vm.state,
    }));
    fleet.vmList.setVms([...entries, ...changed]);
    await clock.advance(4_000);
    expect([1, 2, 3, 4, 5].map(isLeaving)).to.deep.equal([true, false, false, false, true]);
    fleet.vmList.setVms(entries);
    await clock.advance(4_000);
    expect([2, 3, 4].map(isLeaving)).to.deep.equal([false, false, false]);
  });
});
