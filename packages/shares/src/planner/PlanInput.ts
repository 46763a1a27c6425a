/**
 * Input for the computation of a region's next plan.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type ShareReport from '../ShareReport.js';

/** Collected by the planner. */
interface PlanInput {
  readonly region: string;
  readonly configurationRevision: number;
  readonly epoch: number;
  readonly longestDeadlineMs: number;
  /** Targets of the region with the slots available for allocation. */
  readonly targets: readonly { readonly name: string; readonly slots: number }[];
  /** Entry VMs that should own slots: live and reachable. */
  readonly owners: readonly Pick<EntryVm, 'address' | 'peerAddress'>[];
  /** Entry VMs that have to give up their slots: those leaving or missing. */
  readonly leaving: ReadonlySet<string>;
  /**
   * Entry VMs that have been missing and without shares for so long that none of their requests or
   * loans can remain.
   */
  readonly expired: ReadonlySet<string>;
  /** Reports of entry VMs, read since the current plan was written. */
  readonly reports: ReadonlyMap<string, ShareReport>;
  /** Store revision of the current plan; zero if there is none. */
  readonly planRevision: number;
}

export default PlanInput;
