/**
 * Mutable representation of a plan.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type RegionPlan from '../RegionPlan.js';
import type ShareReport from '../ShareReport.js';

/** Slots by target: those the VM may use, and those it may still be using. */
interface TableRow {
  readonly peerAddress: string;
  readonly shares: Map<string, number>;
  readonly held: Map<string, number>;
}

function buildCells(targets: readonly string[], counts: readonly number[]): Map<string, number> {
  const cells = targets.map((target, index): [string, number] => [target, counts[index] ?? 0]);
  return new Map(cells.filter(([, slots]) => slots > 0));
}

/** Rows by entry VM address. `held` is never below `shares`. */
export default class PlanTable {
  private readonly rows = new Map<string, TableRow>();

  constructor(plan: RegionPlan | undefined) {
    plan?.rows.forEach((row) => {
      this.rows.set(row.address, {
        peerAddress: row.peerAddress,
        shares: buildCells(plan.targets, row.shares),
        held: buildCells(plan.targets, row.held),
      });
    });
  }

  addRow({ address, peerAddress }: Pick<EntryVm, 'address' | 'peerAddress'>): void {
    const row = this.rows.get(address);
    const empty = { shares: new Map<string, number>(), held: new Map<string, number>() };
    this.rows.set(address, { ...(row ?? empty), peerAddress });
  }

  removeRow(address: string): void {
    this.rows.delete(address);
  }

  listAddresses(): readonly string[] {
    return [...this.rows.keys()];
  }

  getShare(address: string, target: string): number {
    return this.rows.get(address)?.shares.get(target) ?? 0;
  }

  getHeld(address: string, target: string): number {
    return this.rows.get(address)?.held.get(target) ?? 0;
  }

  /** Number of the target's slots that any VM may still be using. */
  sumHeld(target: string): number {
    return this.listAddresses().reduce((sum, address) => sum + this.getHeld(address, target), 0);
  }

  /** Lowers `held` to the maximum of the VM's share and its reported use. */
  confirmRow(address: string, report: ShareReport): void {
    const uses = new Map(report.uses.map((use) => [use.target, use.slots]));
    const row = this.rows.get(address);
    row?.held.forEach((held, target) => {
      const inUse = Math.max(row.shares.get(target) ?? 0, uses.get(target) ?? 0);
      row.held.set(target, Math.min(held, inUse));
    });
  }

  /** Lowers the share; the difference stays held until the VM confirms the plan. */
  lowerShare(address: string, target: string, share: number): void {
    const row = this.rows.get(address);
    row?.shares.set(target, Math.min(share, this.getShare(address, target)));
  }

  /**
   * Raises the share as far as the free slots allow and returns the number of free slots consumed.
   */
  raiseShare(address: string, target: string, share: number, free: number): number {
    const row = this.rows.get(address);
    const held = this.getHeld(address, target);
    const raised = Math.min(share, held + Math.max(0, free));
    if (row === undefined || raised <= this.getShare(address, target)) {
      return 0;
    }
    row.shares.set(target, raised);
    row.held.set(target, Math.max(held, raised));
    return Math.max(0, raised - held);
  }

  /** Targets with slots that any VM may still be using. */
  listHeldTargets(): readonly string[] {
    const held = [...this.rows.values()].flatMap((row) => [...row.held]);
    return [...new Set(held.filter(([, slots]) => slots > 0).map(([target]) => target))];
  }

  buildRows(targets: readonly string[]): RegionPlan['rows'] {
    const rows = [...this.rows].sort(([a], [b]) => (a < b ? -1 : 1));
    return rows.map(([address, row]) => ({
      address,
      peerAddress: row.peerAddress,
      shares: targets.map((target) => row.shares.get(target) ?? 0),
      held: targets.map((target) => row.held.get(target) ?? 0),
    }));
  }
}
