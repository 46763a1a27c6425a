/**
 * What a new plan of one region is computed from.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type ShareReport from '../ShareReport.js';

/** Facts gathered by the planner. */
interface PlanInput {
  readonly region: string;
  readonly configurationRevision: number;
  readonly epoch: number;
  readonly longestDeadlineMs: number;
  /** Targets of the region with the slots that may be shared out. */
  readonly targets: readonly { readonly name: string; readonly slots: number }[];
  /** Entry VMs that are to own slots: live and reachable. */
  readonly owners: readonly Pick<EntryVm, 'address' | 'peerAddress'>[];
  /** Entry VMs that give their slots up: those that are leaving or missing. */
  readonly leaving: ReadonlySet<string>;
  /** Entry VMs missing for so long since the plan gave them no slots that nothing of theirs can be in flight. */
  readonly expired: ReadonlySet<string>;
  /** What entry VMs said since the current plan was written. */
  readonly reports: ReadonlyMap<string, ShareReport>;
  /** Store revision of the current plan; zero where there is none. */
  readonly planRevision: number;
}

export default PlanInput;
