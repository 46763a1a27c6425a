/**
 * Why requests go to which targets, in structured form.
 */
import type RuledOutReason from './RuledOutReason.js';

interface TargetDescription {
  readonly target: string;
  /** In-flight requests of this VM at the target. */
  readonly used: number;
  /** Slots of the target that this VM can take now. */
  readonly free: number;
  readonly ruledOut: RuledOutReason | null;
  readonly lastResort: boolean;
  readonly condition: 'healthy' | 'sick' | 'trial';
  /** Median of recent latencies in milliseconds; null if unknown. */
  readonly latencyMs: number | null;
  /** Used share of the target's slots, 0 or more: this VM's requests, and those of other VMs as reported. */
  readonly load: number;
  /** Age of the target's last load report in milliseconds; null if there is none. */
  readonly reportAgeMs: number | null;
  /** Share of the target's slots that slow start allows. */
  readonly slowStartShare: number;
}

interface RegionDescription {
  readonly region: string;
  readonly oneWayMs: number;
  /** Utilization of the slots that this VM may use in the region, averaged over a second. */
  readonly use: number;
  readonly ejectionIgnored: boolean;
  readonly targets: readonly TargetDescription[];
}

/** Explains for one service and plan why a region is preferred, and why a target is ruled out. */
interface ChoiceDescription {
  readonly service: string;
  readonly objective: string;
  readonly waiting: number;
  /** Whether a request has waited for so long that the newest requests are served first. */
  readonly queueLate: boolean;
  /** Expected duration of a request once it is sent, in milliseconds; zero if unknown. */
  readonly needMs: number;
  /** In the order of preference of the plan. */
  readonly regions: readonly RegionDescription[];
}

export default ChoiceDescription;
