/**
 * What an entry VM responds to `GET /explain` on the address of its metrics.
 */
import type ExplainedCandidate from './ExplainedCandidate.js';

/** Times are in milliseconds. */
interface RequestExplanation {
  readonly vm: string;
  readonly region: string;
  readonly revision: number;
  readonly route: string;
  /** Service whose targets may serve; empty if the route has none. */
  readonly service: string;
  readonly regions: readonly string[];
  readonly semantics: string;
  readonly priority?: number;
  readonly deadlineMs: number;
  readonly goalMs?: number;
  readonly keys: {
    readonly isNeeded: boolean;
    /** Null before the state was verified for the first time. */
    readonly verifiedAgeMs: number | null;
    /** Null if there is no limit. */
    readonly maxKnownKeyAgeMs: number | null;
    /** Whether requests with a known key are refused. */
    readonly refusesKnown: boolean;
    /** Whether an unknown key gets 503 instead of 401. */
    readonly refusesUnknownAsStale: boolean;
  };
  readonly customer?: {
    readonly name: string;
    readonly priority?: number;
    readonly homeRegions: readonly string[];
    readonly hasUnreadableRegions?: boolean;
    readonly quota?: { readonly ratePerS: number; readonly burst: number };
  };
  readonly choice: {
    readonly outcome: 'sent' | 'queued' | 'not-in-time' | 'no-target';
    readonly target?: string;
    readonly isLearned: boolean;
    readonly isOrderRandom: boolean;
    readonly candidates: readonly ExplainedCandidate[];
    readonly otherCandidates: Readonly<Record<string, number>>;
    readonly notCompared: number;
    readonly ruledOut: readonly {
      readonly target: string;
      readonly region: string;
      readonly reason: string;
    }[];
    readonly otherRuledOut: Readonly<Record<string, number>>;
  };
}

export default RequestExplanation;
