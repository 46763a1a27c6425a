/**
 * The bandwidth between regions that this entry VM may use now.
 */

/** Implementations guarantee that the budgets of all entry VMs never exceed a link's limit. */
interface LinkBudget {
  /** Reserves bytes in one direction; false where the budget does not allow it now. Always true inside one region. */
  reserveBytes(fromRegion: string, toRegion: string, bytes: number): boolean;
  /** Corrects an earlier reservation by the bytes really sent, which may be more or fewer. */
  settleBytes(fromRegion: string, toRegion: string, reserved: number, used: number): void;
  /** Milliseconds until `bytes` could be reserved; zero when they could be now. */
  estimateWaitMs(fromRegion: string, toRegion: string, bytes: number): number;
}

export default LinkBudget;
