/**
 * A rule that sends requests of one host and path prefix to services.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';

/** Times are in milliseconds. */
interface RoutingRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest prefix of a host wins. */
  readonly pathPrefix: string;
  readonly semantics: OperationSemantics;
  /** Longest time a caller is kept waiting. */
  readonly timeoutMs: number;
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** Requests for one object are kept on one target. */
  readonly isSticky: boolean;
  /** Regions that may serve; empty: all. */
  readonly homeRegions: readonly string[];
  /** Services that share the traffic by weight; one for a plain rule. */
  readonly parts: readonly { readonly service: string; readonly weight: number }[];
}

export default RoutingRule;
