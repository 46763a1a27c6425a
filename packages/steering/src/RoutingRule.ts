/**
 * A rule that routes requests for one host and path prefix to services.
 */
import type OperationSemantics from '@burdockcove/types/OperationSemantics';

/** Times are in milliseconds. */
interface RoutingRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest matching prefix of a host applies. */
  readonly pathPrefix: string;
  readonly semantics: OperationSemantics;
  /** Longest time a caller waits for a response. */
  readonly timeoutMs: number;
  readonly targetLatencyMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** Whether requests for the same object go to the same target. */
  readonly isSticky: boolean;
  /** Whether requests need no customer's key. */
  readonly isPublic: boolean;
  /** Regions whose targets may serve; all regions if empty. */
  readonly homeRegions: readonly string[];
  /** Services that share the traffic by weight; a rule without a split has one, and a rule with none refuses. */
  readonly parts: readonly { readonly service: string; readonly weight: number }[];
}

export default RoutingRule;
