/**
 * Report of an entry VM on its owned slots in one region.
 */

/** Sent to the planner. */
interface ShareReport {
  /** Store revision of the applied plan; zero if none is applied. */
  readonly planRevision: number;
  /** False while requests or loans of an earlier process at this address may be outstanding. */
  readonly settled: boolean;
  /** Requests in flight on owned slots plus lent slots, for targets where there are any. */
  readonly uses: readonly { readonly target: string; readonly slots: number }[];
}

export default ShareReport;
