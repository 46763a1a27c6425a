/**
 * Guards against overload of a cold target that many entry VMs want to use at the same time.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Random from '@burdockcove/runtime/Random';
import ColdAdmission from '../src/ColdAdmission.js';
import MemberTable from '../src/MemberTable.js';
import type FleetMember from '../src/FleetMember.js';
import type KnownTarget from '../src/KnownTarget.js';
import buildTargetRecord from './buildTargetRecord.js';

const STEP_MS = 20;
const MS_PER_SECOND = 1000;

function buildMember(index: number): FleetMember {
  return {
    name: `vm-${index}`,
    address: `127.0.0.${index}:1`,
    region: 'north',
    failureDomain: 'a',
  };
}

interface Fleet {
  readonly ratePerS: number;
  /** For each VM, the names of the members that it knows. */
  readonly views: readonly (readonly FleetMember[])[];
  /** The size of the fleet that is recorded in the store; 0 if there is no record. */
  readonly recordedSize?: number;
  /** Probability that a VM has a request for the target at a step. */
  readonly demand?: number;
  readonly targetName?: string;
}

function buildMembers(vms: number): readonly FleetMember[] {
  return Array.from({ length: vms }, (_, index) => buildMember(index + 1));
}

/** Returns the highest number of requests within any second. */
async function measureBurst({ ratePerS, views, ...options }: Fleet): Promise<number> {
  const { recordedSize = 0, demand = 1, targetName = 't1' } = options;
  const clock = new FakeClock();
  const random = new Random(1);
  const fleet = views.map((known, index) => {
    const table = new MemberTable(clock, buildMember(index + 1));
    known.forEach((member) => table.putMember(member));
    table.setRecord({ size: recordedSize, revision: 1 });
    return new ColdAdmission(clock, table, () => ({ ratePerS, burst: ratePerS }));
  });
  const cold: KnownTarget = {
    ...buildTargetRecord(targetName),
    coldUntilMs: Infinity,
    expiresAtMs: null,
  };
  const sentAtMs: number[] = [];
  while (clock.getMonotonicMs() < 6 * MS_PER_SECOND) {
    const nowMs = clock.getMonotonicMs();
    fleet.forEach((vm) => random.nextFloat() < demand && vm.tryAdmit(cold) && sentAtMs.push(nowMs));
    await clock.advance(STEP_MS);
  }
  const bursts = sentAtMs.map(
    (from) => sentAtMs.filter((at) => at >= from && at < from + MS_PER_SECOND).length,
  );
  return Math.max(0, ...bursts);
}

function repeat<Item>(count: number, item: Item): readonly Item[] {
  return Array.from({ length: count }, () => item);
}

describe('ColdAdmission: a cold target that every entry VM wants to use', () => {
  const BURST_FACTOR = 1.5;
  const SLACK = 5;
  const cases = [
    { vms: 9, ratePerS: 2.1 },
    { vms: 12, ratePerS: 11 },
    { vms: 77, ratePerS: 11 },
    { vms: 195, ratePerS: 11 },
  ];
  cases.forEach(({ vms, ratePerS }) => {
    it(`keeps the request rate near the limit of the target: ${vms} VMs, ${ratePerS} requests a second`, async () => {
      const burst = await measureBurst({ ratePerS, views: repeat(vms, buildMembers(vms)) });
      expect(burst).to.be.within(1, ratePerS * BURST_FACTOR + SLACK);
    }).timeout(60_000);
  });

  it('keeps the request rate near the limit when a third of the VMs is unknown to the others', async () => {
    const views = repeat(9, buildMembers(6));
    const burst = await measureBurst({ ratePerS: 2.1, views });
    expect(burst).to.be.within(1, 2.1 * BURST_FACTOR + SLACK);
  });

  it('allows at least one VM to send', async () => {
    expect(await measureBurst({ ratePerS: 0.5, views: repeat(9, buildMembers(9)) })).to.be.at.least(
      1,
    );
  });
});

// Guards against FAILBACK: VMs that see different fleets must not add up to more than a cold target can handle.
describe('ColdAdmission: VMs that see different fleets', () => {
  const RATE_PER_S = 11;
  const BOUND = RATE_PER_S * 1.5 + 5;
  const members = buildMembers(12);
  const fleets: Readonly<Record<string, readonly (readonly FleetMember[])[]>> = {
    'all know all': repeat(12, members),
    'eight know each other, four know all': [
      ...repeat(8, members.slice(0, 8)),
      ...repeat(4, members),
    ],
    'six know each other, six know all': [...repeat(6, members.slice(0, 6)), ...repeat(6, members)],
    'halves know their half': [...repeat(6, members.slice(0, 6)), ...repeat(6, members.slice(6))],
    'each knows itself alone': members.map((member) => [member]),
  };
  Object.entries(fleets).forEach(([name, views]) => {
    it(`keeps within the bound for 20 targets: ${name}`, async () => {
      const targets = Array.from({ length: 20 }, (_, index) => `target-${index}`);
      const bursts = await Promise.all(
        targets.map((targetName) =>
          measureBurst({
            ratePerS: RATE_PER_S,
            views,
            recordedSize: 12,
            demand: 0.3,
            targetName,
          }),
        ),
      );
      expect(Math.max(...bursts)).to.be.at.most(BOUND);
      expect(Math.max(...bursts)).to.be.at.least(RATE_PER_S / 2);
    });
  });
});

describe('ColdAdmission: requests between two confirmations that a target is warm', () => {
  [1, 3, 9, 12, 30, 77].forEach((vms) => {
    it(`add up to no more than a cold target can handle in a second: ${vms} VMs`, () => {
      const clock = new FakeClock();
      const members = buildMembers(vms);
      const limits = { ratePerS: 11, burst: 21.5 };
      const shares = members.map((self) => {
        const table = new MemberTable(clock, self);
        table.replaceMembers(members);
        const { target } = buildTargetRecord('t1');
        return new ColdAdmission(clock, table, () => limits).getUnconfirmedLimit(target);
      });
      const sum = shares.reduce((total, share) => total + share, 0);
      expect(sum).to.be.within(Math.min(vms, 10), Math.max(vms, limits.burst));
      expect(Math.min(...shares)).to.be.at.least(1);
    });
  });
});
