/**
 * The serving side of the core protocol at one entry VM.
 */
import type LoanResponse from './LoanResponse.js';
import type LoanUpdate from './LoanUpdate.js';
import type ShareReport from './ShareReport.js';

/** Answers at once from local state. */
interface ShareEndpoint {
  updateLoans(update: LoanUpdate): LoanResponse;
  reportShares(region: string): ShareReport;
  /** Store revision of the selector's shift record that is applied; zero where none is. */
  reportShift(selector: string): number;
}

export default ShareEndpoint;
