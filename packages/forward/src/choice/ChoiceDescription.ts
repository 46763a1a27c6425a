/**
 * Why requests go where they go, in structured form.
 */
import type RuledOutReason from './RuledOutReason.js';

interface TargetDescription {
  readonly target: string;
  /** Requests of this VM in flight there. */
  readonly used: number;
  /** Slots that this VM could take there now. */
  readonly free: number;
  readonly ruledOut: RuledOutReason | null;
  readonly lastResort: boolean;
  readonly condition: 'healthy' | 'sick' | 'trial';
  /** Median of recent latencies in milliseconds, null where unknown. */
  readonly latencyMs: number | null;
  /** Load from 0 up: own requests and others' as reported. */
  readonly load: number;
  /** Age of the target's last load report in milliseconds, null where there is none. */
  readonly reportAgeMs: number | null;
  /** Share of its slots that slow start allows. */
  readonly slowStartShare: number;
}

interface RegionDescription {
  readonly region: string;
  readonly oneWayMs: number;
  /** Share in use of the slots that this VM may use there, averaged over a second. */
  readonly use: number;
  readonly ejectionIgnored: boolean;
  readonly targets: readonly TargetDescription[];
}

/** Answers "why this region, and why not that target" for one service and plan. */
interface ChoiceDescription {
  readonly service: string;
  readonly objective: string;
  readonly waiting: number;
  /** Whether a request has waited for so long that the newest are served first. */
  readonly queueLate: boolean;
  /** Time a request is expected to need once sent, in milliseconds; zero where unknown. */
  readonly needMs: number;
  /** In the plan's order of preference. */
  readonly regions: readonly RegionDescription[];
}

export default ChoiceDescription;
