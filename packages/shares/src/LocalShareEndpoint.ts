/**
 * Serving side of the core protocol at this entry VM.
 */
import type LoanResponse from './LoanResponse.js';
import type LoanService from './LoanService.js';
import type LoanUpdate from './LoanUpdate.js';
import type OwnedSlotLedger from './OwnedSlotLedger.js';
import type ReplicaShiftPositions from './shift/ReplicaShiftPositions.js';
import type ShareEndpoint from './ShareEndpoint.js';
import type ShareReport from './ShareReport.js';

/** Delegates calls to the slot ledger, the loan service and the shift positions. */
export default class LocalShareEndpoint implements ShareEndpoint {
  constructor(
    private readonly ledger: OwnedSlotLedger,
    private readonly loanService: LoanService,
    private readonly positions: ReplicaShiftPositions,
  ) {}

  updateLoans(update: LoanUpdate): LoanResponse {
    return this.loanService.updateLoans(update);
  }

  reportShares(region: string): ShareReport {
    return this.ledger.reportShares(region);
  }

  reportShift(selector: string): number {
    return this.positions.getAppliedRevision(selector);
  }
}
