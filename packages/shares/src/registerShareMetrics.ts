/**
 * Metrics of the slots, loans and shifts of one entry VM.
 */
import { Gauge, type Registry } from 'prom-client';
import type OwnedSlotLedger from './OwnedSlotLedger.js';
import type ReplicaShiftPositions from './shift/ReplicaShiftPositions.js';

function registerSlots(registry: Registry, ledger: OwnedSlotLedger): void {
  const gauge = new Gauge({
    name: 'burdockcove_slots',
    help: 'Slots of this entry VM by state, summed over targets',
    labelNames: ['state'],
    registers: [],
    collect: () => {
      Object.entries(ledger.sumSlots()).forEach(([state, slots]) => gauge.set({ state }, slots));
    },
  });
  registry.registerMetric(gauge);
}

function registerSettled(registry: Registry, { plans }: OwnedSlotLedger): void {
  const gauge = new Gauge({
    name: 'burdockcove_plan_settled',
    help: 'Whether this entry VM may use the slots that a region plan assigns to it (1) or not yet (0)',
    labelNames: ['region'],
    registers: [],
    collect: () => {
      gauge.reset();
      plans
        .listOwnRegions()
        .forEach((region) => gauge.set({ region }, plans.isSettled(region) ? 1 : 0));
    },
  });
  registry.registerMetric(gauge);
}

function registerShifts(registry: Registry, positions: ReplicaShiftPositions): void {
  const gauge = new Gauge({
    name: 'burdockcove_shift_record_revision',
    help: 'Store revision of the shift record applied by this entry VM',
    labelNames: ['selector'],
    registers: [],
    collect: () => {
      positions
        .listSelectors()
        .forEach((selector) => gauge.set({ selector }, positions.getAppliedRevision(selector)));
    },
  });
  registry.registerMetric(gauge);
}

/** Registers gauges that read the ledger and the shift positions on collection. */
export default function registerShareMetrics(
  registry: Registry,
  ledger: OwnedSlotLedger,
  positions: ReplicaShiftPositions,
): void {
  registerSlots(registry, ledger);
  registerSettled(registry, ledger);
  registerShifts(registry, positions);
}
