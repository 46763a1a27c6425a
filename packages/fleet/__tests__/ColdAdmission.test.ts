/**
 * Guards against overload of a cold target that many entry VMs want to use at the same time.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
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

/** Returns the highest number of requests within any second when every VM tries to send at every step. */
async function measureBurst(vms: number, ratePerS: number, knownBy: number): Promise<number> {
  const clock = new FakeClock();
  const members = Array.from({ length: vms }, (_, index) => buildMember(index + 1));
  const fleet = members.map((self) => {
    const table = new MemberTable(clock, self);
    members.slice(0, knownBy).forEach((member) => table.putMember(member));
    return new ColdAdmission(clock, table, () => ratePerS);
  });
  const cold: KnownTarget = {
    ...buildTargetRecord('t1'),
    coldUntilMs: Infinity,
    expiresAtMs: null,
  };
  const sentAtMs: number[] = [];
  while (clock.getMonotonicMs() < 6 * MS_PER_SECOND) {
    const nowMs = clock.getMonotonicMs();
    fleet.forEach((vm) => vm.tryAdmit(cold) && sentAtMs.push(nowMs));
    await clock.advance(STEP_MS);
  }
  const bursts = sentAtMs.map(
    (from) => sentAtMs.filter((at) => at >= from && at < from + MS_PER_SECOND).length,
  );
  return Math.max(...bursts);
}

describe('ColdAdmission: a cold target that every entry VM wants to use', () => {
  const BURST_FACTOR = 1.5;
  const SLACK = 5;
  const cases = [
    { vms: 9, ratePerS: 2.1 },
    { vms: 12, ratePerS: 11 },
    { vms: 77, ratePerS: 11 },
  ];
  cases.forEach(({ vms, ratePerS }) => {
    it(`keeps the request rate near the limit of the target: ${vms} VMs, ${ratePerS} requests a second`, async () => {
      const burst = await measureBurst(vms, ratePerS, vms);
      expect(burst).to.be.within(1, ratePerS * BURST_FACTOR + SLACK);
    });
  });

  it('keeps the request rate near the limit when a third of the VMs is unknown to the others', async () => {
    const burst = await measureBurst(9, 2.1, 6);
    expect(burst).to.be.within(1, 2.1 * BURST_FACTOR + SLACK);
  });

  it('allows at least one VM to send', async () => {
    expect(await measureBurst(9, 0.5, 9)).to.be.at.least(1);
  });
});
