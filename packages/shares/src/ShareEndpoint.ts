/**
 * Serving side of the core protocol at one entry VM.
 */
import type LoanResponse from './LoanResponse.js';
import type LoanUpdate from './LoanUpdate.js';
import type ShareReport from './ShareReport.js';

/** Responds immediately from local state. */
interface ShareEndpoint {
  updateLoans(update: LoanUpdate): LoanResponse;
  reportShares(region: string): ShareReport;
  /** Store revision of the selector's applied shift record; zero if none is applied. */
  reportShift(selector: string): number;
}

export default ShareEndpoint;
