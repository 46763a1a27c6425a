/**
 * What an entry VM says about its owned slots of one region.
 */

/** Answer to the planner. */
interface ShareReport {
  /** Store revision of the plan that is applied; zero where none is. */
  readonly planRevision: number;
  /** False while an earlier process at this address may have left requests or loans behind. */
  readonly settled: boolean;
  /** Requests in flight on owned slots plus slots lent, where there are any. */
  readonly uses: readonly { readonly target: string; readonly slots: number }[];
}

export default ShareReport;
