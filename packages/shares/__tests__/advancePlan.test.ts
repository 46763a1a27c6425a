/**
 * Safety and balance of the steps of a region's plan.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import type RegionPlan from '../src/RegionPlan.js';
import type ShareReport from '../src/ShareReport.js';
import advancePlan from '../src/planner/advancePlan.js';
import type PlanInput from '../src/planner/PlanInput.js';

function buildVm(index: number): { readonly address: string; readonly peerAddress: string } {
  return { address: `127.0.0.${index}:1`, peerAddress: `127.0.0.${index}:2` };
}

function buildInput(owners: readonly number[], slots: readonly number[]): PlanInput {
  return {
    region: 'tartu',
    configurationRevision: 1,
    epoch: 1,
    longestDeadlineMs: 2_000,
    targets: slots.map((count, index) => ({ name: `t${index}`, slots: count })),
    owners: owners.map(buildVm),
    leaving: new Set(),
    expired: new Set(),
    reports: new Map(),
    planRevision: 5,
  };
}

function sumHeld(plan: RegionPlan, target: string): number {
  const index = plan.targets.indexOf(target);
  return plan.rows.reduce((sum, row) => sum + (row.held[index] ?? 0), 0);
}

function buildReports(plan: RegionPlan, planRevision: number): Map<string, ShareReport> {
  return new Map(plan.rows.map((row) => [row.address, { planRevision, settled: true, uses: [] }]));
}

const owners = fc.uniqueArray(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 6 });
const slots = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 8 });

describe('advancePlan', () => {
  it('never plans more slots than a target has while VMs join, leave and confirm', () => {
    const step = fc.record({ owners, leaving: owners, confirms: owners, fresh: fc.boolean() });
    fc.assert(
      fc.property(slots, fc.array(step, { minLength: 1, maxLength: 8 }), (counts, steps) => {
        let plan: RegionPlan | undefined;
        for (const each of steps) {
          const staying = each.owners.filter((owner) => !each.leaving.includes(owner));
          const names = new Set(each.confirms.map((index) => buildVm(index).address));
          const reports = plan === undefined ? [] : [...buildReports(plan, each.fresh ? 5 : 4)];
          plan = advancePlan(plan, {
            ...buildInput(staying, counts),
            leaving: new Set(each.leaving.map((index) => buildVm(index).address)),
            reports: new Map(reports.filter(([address]) => names.has(address))),
          });
          for (const [index, count] of counts.entries()) {
            expect(sumHeld(plan, `t${index}`)).to.be.at.most(count);
          }
        }
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  it('distributes all slots evenly and then leaves the plan unchanged', () => {
    fc.assert(
      fc.property(owners, slots, (vms, counts) => {
        const input = buildInput(vms, counts);
        const plan = advancePlan(undefined, input);
        const total = counts.reduce((sum, count) => sum + count, 0);
        const totals = plan.rows.map((row) => row.shares.reduce((sum, share) => sum + share, 0));
        expect(totals.reduce((sum, each) => sum + each, 0)).to.equal(total);
        expect(Math.max(...totals) - Math.min(...totals)).to.be.at.most(2);
        expect(advancePlan(plan, input)).to.deep.equal(plan);
      }),
      { seed: 12, numRuns: 300 },
    );
  });

  it('raises the share of a new VM only after the others confirmed the plan that lowered theirs', () => {
    const before = advancePlan(undefined, buildInput([1, 2], [4]));
    const lowered = advancePlan(before, buildInput([1, 2, 3], [4]));
    const getNewVmShares = (plan: RegionPlan): readonly number[] | undefined =>
      plan.rows.find((row) => row.address === buildVm(3).address)?.shares;
    expect(getNewVmShares(lowered)).to.deep.equal([0]);
    const stale = { ...buildInput([1, 2, 3], [4]), reports: buildReports(lowered, 4) };
    expect(getNewVmShares(advancePlan(lowered, stale))).to.deep.equal([0]);
    const fresh = { ...buildInput([1, 2, 3], [4]), reports: buildReports(lowered, 5) };
    expect(getNewVmShares(advancePlan(lowered, fresh))).to.deep.equal([1]);
  });
});
