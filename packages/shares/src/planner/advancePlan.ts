/**
 * Computes the next step of a region's plan towards equal shares.
 */
import type RegionPlan from '../RegionPlan.js';
import type PlanInput from './PlanInput.js';
import PlanTable from './PlanTable.js';
import computeShares from './computeShares.js';

function confirmRows(table: PlanTable, input: PlanInput): void {
  input.reports.forEach((report, address) => {
    if (report.settled && report.planRevision >= input.planRevision) {
      table.confirmRow(address, report);
    }
  });
}

function moveShares(table: PlanTable, input: PlanInput): void {
  const planned = computeShares(table, input);
  for (const target of table.listHeldTargets()) {
    const shares = planned.get(target);
    table
      .listAddresses()
      .forEach((address) => table.lowerShare(address, target, shares?.get(address) ?? 0));
  }
  for (const { name, slots } of input.targets) {
    let free = slots - table.sumHeld(name);
    planned.get(name)?.forEach((share, address) => {
      free -= table.raiseShare(address, name, share, free);
    });
  }
}

function removeRows(table: PlanTable, input: PlanInput): void {
  const owners = new Set(input.owners.map((owner) => owner.address));
  table
    .listAddresses()
    .filter((address) => !owners.has(address) || input.expired.has(address))
    .filter(
      (address) =>
        input.expired.has(address) ||
        table.listHeldTargets().every((target) => table.getHeld(address, target) === 0),
    )
    .forEach((address) => table.removeRow(address));
}

/**
 * Lowers shares immediately, but raises them only by slots that no VM can be using: slots whose
 * previous user has confirmed the plan that took them away, or has been missing for long enough.
 */
export default function advancePlan(current: RegionPlan | undefined, input: PlanInput): RegionPlan {
  const table = new PlanTable(current);
  confirmRows(table, input);
  removeRows(table, input);
  input.owners.forEach((owner) => table.addRow(owner));
  moveShares(table, input);
  const configured = new Map(input.targets.map(({ name, slots }) => [name, slots]));
  const targets = [...new Set([...configured.keys(), ...table.listHeldTargets()])].sort();
  const currentSlots = new Map(
    current?.targets.map((name, index) => [name, current.slots[index] ?? 0]),
  );
  return {
    version: 1,
    region: input.region,
    configurationRevision: input.configurationRevision,
    epoch: input.epoch,
    longestDeadlineMs: input.longestDeadlineMs,
    targets,
    slots: targets.map((target) => configured.get(target) ?? currentSlots.get(target) ?? 0),
    rows: table.buildRows(targets),
  };
}
