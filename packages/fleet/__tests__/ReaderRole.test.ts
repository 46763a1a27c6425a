/**
 * Which entry VMs read the store: a few in each failure domain, whatever the size of the fleet.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import type FleetMember from '../src/FleetMember.js';
import MemberTable from '../src/MemberTable.js';
import ReaderRole from '../src/ReaderRole.js';

const MAX_STATE_AGE_MS = 2500;

function buildMember(index: number, domains: number): FleetMember {
  const name = `vm-${index}`;
  const failureDomain = `domain-${index % domains}`;
  return { name, address: `${name}:1`, region: 'north', failureDomain, stateAddress: `${name}:2` };
}

function buildMembers(vms: number, domains: number): readonly FleetMember[] {
  return Array.from({ length: vms }, (_, index) => buildMember(index, domains));
}

function buildRole(clock: FakeClock, members: readonly FleetMember[], index = 0): ReaderRole {
  const table = new MemberTable(clock, members[index] as FleetMember);
  table.replaceMembers(members);
  return new ReaderRole(table, () => MAX_STATE_AGE_MS);
}

describe('ReaderRole', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = new FakeClock();
  });

  const fleets = [
    { vms: 12, domains: 6, readers: 12 },
    { vms: 64, domains: 6, readers: 12 },
    { vms: 195, domains: 9, readers: 18 },
    { vms: 300, domains: 9, readers: 18 },
  ];
  fleets.forEach(({ vms, domains, readers }) => {
    it(`has ${readers} readers among ${vms} VMs in ${domains} failure domains`, () => {
      const members = buildMembers(vms, domains);
      const roles = members.map((_, index) => buildRole(clock, members, index));
      expect(roles.filter((role) => !role.isFollower())).to.have.length(readers);
    });
  });

  it('names the same two readers on every VM of a failure domain, and two at the target size', () => {
    const members = buildMembers(6000, 74);
    const followers = [0, 74, 148, 222].map((index) => buildRole(clock, members, index));
    const named = followers.map((role) => role.listReaderAddresses().join());
    expect(new Set(named).size).to.equal(1);
    expect(followers[0]?.listReaderAddresses()).to.have.length(2);
  });

  it('replaces a reader whose lease has ended', () => {
    const members = buildMembers(9, 1);
    const role = buildRole(clock, members);
    const [lost = ''] = role.listReaderAddresses();
    const rest = members.filter(({ stateAddress }) => stateAddress !== lost);
    const replaced = buildRole(clock, rest);
    expect(replaced.listReaderAddresses()).not.to.include(lost);
    expect(replaced.listReaderAddresses()).to.have.length(2);
  });

  it('leaves out members that pass on no state, as those of an older version', () => {
    const old = buildMembers(5, 1).map(({ stateAddress: _, ...member }) => member);
    expect(buildRole(clock, old).isFollower()).to.equal(false);
    expect(buildRole(clock, old).getSharedTiming()).to.equal(null);
  });

  it('lets a follower read the store itself when neither reader has passed on a recent state', () => {
    const members = buildMembers(9, 1);
    const role = members
      .map((_, index) => buildRole(clock, members, index))
      .find((candidate) => candidate.isFollower()) as ReaderRole;
    const reads = [true, false, true, false, false, true];
    const decisions = reads.map((hasSucceeded) => {
      role.recordRead(hasSucceeded);
      return role.shouldReadStore();
    });
    expect(decisions).to.deep.equal([false, false, false, false, true, false]);
  });

  it('reads the store before any reader has passed on a state', () => {
    const members = buildMembers(9, 1);
    const roles = members.map((_, index) => buildRole(clock, members, index));
    expect(roles.every((role) => role.shouldReadStore())).to.equal(true);
  });

  it('confirms a shared state often enough for a lost reader to be noticed within the bound', () => {
    const role = buildRole(clock, buildMembers(9, 1));
    const noticedMs = role.getMaxReaderAgeMs() + 2 * role.getReadIntervalMs();
    expect(noticedMs).to.be.at.most(MAX_STATE_AGE_MS);
  });
});
