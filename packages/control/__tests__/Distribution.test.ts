/**
 * Distribution of the configuration over a fleet: in force everywhere, never back.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import FleetStandIn from '@burdockcove/standins/fleet/FleetStandIn';
import buildPlaces from './support/buildPlaces.js';
import encodeConfiguration from './support/encodeConfiguration.js';

const KEY = 'state/configuration';

describe('distribution', () => {
  let clock: FakeClock;
  let fleet: FleetStandIn;

  const revisions = (): readonly number[] => fleet.nodes.map((node) => node.getRevision());

  beforeEach(async () => {
    clock = new FakeClock();
    fleet = new FleetStandIn({ clock, seed: 1 }, buildPlaces(18));
    await fleet.putState(KEY, encodeConfiguration(1));
  });

  afterEach(async () => {
    fleet.killAll();
    await clock.advance(0);
  });

  it('reaches every VM within 2 s through two relays a failure domain', async () => {
    fleet.startAll();
    await clock.advance(3_000);
    expect(new Set(revisions())).to.deep.equal(new Set([1]));
    expect(fleet.store.meter.getOpenWatches()).to.equal(12);
    await fleet.putState(KEY, encodeConfiguration(2));
    await clock.advance(2_000);
    expect(new Set(revisions())).to.deep.equal(new Set([2]));
  });

  it('spreads between VMs while the store is down, to a restarted VM too', async () => {
    fleet.startAll();
    await clock.advance(3_000);
    fleet.nodes.slice(1).forEach((node) => node.store.setCut(true));
    await fleet.putState(KEY, encodeConfiguration(2));
    fleet.store.setDown(true);
    expect(fleet.nodes[0]?.getRevision()).to.equal(2);
    await clock.advance(15_000);
    expect(new Set(revisions())).to.deep.equal(new Set([2]));
    fleet.nodes[4]?.kill();
    fleet.nodes[4]?.start();
    await clock.advance(3_000);
    expect(fleet.nodes[4]?.isReady()).to.equal(true);
    expect(fleet.nodes[4]?.getRevision()).to.equal(2);
  });

  it('is not ready on the word of a stale minority', async () => {
    fleet.startAll();
    await clock.advance(3_000);
    const restarted = fleet.nodes[0];
    restarted?.kill();
    fleet.store.setDown(true);
    const near = new Set(
      fleet.nodes.filter(({ vm }) => vm.region === 'near').map(({ vm }) => vm.peerAddress),
    );
    fleet.network.setCut((from, to) => near.has(from) !== near.has(to));
    restarted?.start();
    await clock.advance(4_000);
    expect(restarted?.isReady()).to.equal(false);
    fleet.network.setCut(() => false);
    await clock.advance(4_000);
    expect(restarted?.isReady()).to.equal(true);
  });

  it('ages while cut off from all, and is current again afterwards', async () => {
    fleet.startAll();
    await clock.advance(10_000);
    const [node] = fleet.nodes;
    const self = node?.vm.peerAddress;
    expect(node?.plane?.replica.getAgeMs()).to.be.lessThan(8_000);
    node?.store.setCut(true);
    fleet.network.setCut((from, to) => from === self || to === self);
    await clock.advance(60_000);
    expect(node?.plane?.replica.getAgeMs()).to.be.greaterThan(59_000);
    expect(node?.getRevision()).to.equal(1);
    await fleet.putState(KEY, encodeConfiguration(2));
    fleet.network.setCut(() => false);
    await clock.advance(10_000);
    expect(node?.plane?.replica.getAgeMs()).to.be.lessThan(15_000);
    expect(node?.getRevision()).to.equal(2);
  });

  it('notices watches that have gone silent', async () => {
    fleet.startAll();
    await clock.advance(3_000);
    fleet.store.silenceWatches();
    await fleet.putState(KEY, encodeConfiguration(2));
    await clock.advance(7_000);
    expect(new Set(revisions())).to.deep.equal(new Set([2]));
    await fleet.putState(KEY, encodeConfiguration(3));
    await clock.advance(2_000);
    expect(new Set(revisions())).to.deep.equal(new Set([3]));
  });

  it('recovers from cut watches and a compacted history', async () => {
    fleet.startAll();
    await clock.advance(3_000);
    fleet.store.setDown(true);
    await clock.advance(1_000);
    fleet.store.setDown(false);
    await fleet.putState(KEY, encodeConfiguration(2));
    fleet.store.compactHistory();
    await clock.advance(12_000);
    expect(new Set(revisions())).to.deep.equal(new Set([2]));
  });
});
