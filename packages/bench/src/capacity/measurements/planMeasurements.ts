/**
 * What the plan of one region costs its planner and its entry VMs.
 */
import advancePlan from '@burdockcove/shares/planner/advancePlan';
import type PlanInput from '@burdockcove/shares/planner/PlanInput';
import encodeRegionPlan from '@burdockcove/shares/encodeRegionPlan';
import type SlopeMeasurement from '../SlopeMeasurement.js';
import twoYearTarget from '../twoYearTarget.js';
import measureBestMs from './measureBestMs.js';

/** Entry VMs of one region: today 4, at the target size 316. */
const SIZES = [40, 80, 160, 320];
const TARGETS = Math.ceil(twoYearTarget.sites / twoYearTarget.regions);
const SLOTS = 4000;
const DEADLINE_MS = 8000;

function buildInput(owners: number): PlanInput {
  return {
    region: 'region-0',
    configurationRevision: 1,
    epoch: 1,
    longestDeadlineMs: DEADLINE_MS,
    targets: Array.from({ length: TARGETS }, (_none, index) => ({
      name: `site-${index}`,
      slots: SLOTS,
    })),
    owners: Array.from({ length: owners }, (_none, index) => ({
      address: `127.0.${Math.floor(index / 250)}.${index % 250}:8080`,
      peerAddress: `127.0.${Math.floor(index / 250)}.${index % 250}:8081`,
    })),
    leaving: new Set(),
    expired: new Set(),
    reports: new Map(),
    planRevision: 0,
  };
}

const planMeasurements: readonly SlopeMeasurement[] = [
  {
    name: 'plan-bytes',
    summary: 'Encoded plan of one region',
    per: 'nodes of a region',
    unit: 'bytes',
    sizes: SIZES,
    measure: async (size) => encodeRegionPlan(advancePlan(undefined, buildInput(size))).length,
  },
  {
    name: 'plan-ms',
    summary: 'Processor time of one step of the planner',
    per: 'nodes of a region',
    unit: 'ms',
    sizes: SIZES,
    measure: async (size) => {
      const input = buildInput(size);
      const current = advancePlan(undefined, input);
      return measureBestMs(() => {
        advancePlan(current, input);
      });
    },
  },
];

export default planMeasurements;
