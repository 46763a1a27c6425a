/**
 * Metrics of slots, loans and shifts at one entry VM.
 */
import { Gauge, type Registry } from 'prom-client';
import type OwnedSlotLedger from './OwnedSlotLedger.js';
import type ReplicaShiftPositions from './shift/ReplicaShiftPositions.js';

/** Values are read from the ledger and the positions when the metrics are collected. */
export default class ShareMetrics {
  constructor(
    private readonly registry: Registry,
    private readonly ledger: OwnedSlotLedger,
    private readonly positions: ReplicaShiftPositions,
  ) {
    this.registerSlots();
    this.registerSettled();
    this.registerShifts();
  }

  private registerSlots(): void {
    const { ledger } = this;
    const gauge = new Gauge({
      name: 'burdockcove_slots',
      help: 'Slots of this entry VM by state, summed over targets',
      labelNames: ['state'],
      registers: [this.registry],
      collect: () => {
        Object.entries(ledger.sumSlots()).forEach(([state, slots]) => gauge.set({ state }, slots));
      },
    });
  }

  private registerSettled(): void {
    const { plans } = this.ledger;
    const gauge = new Gauge({
      name: 'burdockcove_plan_settled',
      help: 'Whether the slots that the plan of a region gives to this entry VM may be used (1) or not yet (0)',
      labelNames: ['region'],
      registers: [this.registry],
      collect: () => {
        gauge.reset();
        plans
          .listOwnRegions()
          .forEach((region) => gauge.set({ region }, plans.isSettled(region) ? 1 : 0));
      },
    });
  }

  private registerShifts(): void {
    const { positions } = this;
    const gauge = new Gauge({
      name: 'burdockcove_shift_record_revision',
      help: 'Store revision of the shift record that this entry VM applied',
      labelNames: ['selector'],
      registers: [this.registry],
      collect: () => {
        positions
          .listSelectors()
          .forEach((selector) => gauge.set({ selector }, positions.getAppliedRevision(selector)));
      },
    });
  }
}
