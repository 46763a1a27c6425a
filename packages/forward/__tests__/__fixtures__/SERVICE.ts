/**
 * Service for tests.
 */
import type Service from '@burdockcove/types/Service';

/** The deadline is short to keep tests short. */
const SERVICE: Service = {
  name: 'ledger',
  match: [],
  objective: 'headroom',
  billed: true,
  operations: [],
  deadlineMs: 1500,
  memberHeader: 'member',
  maxRequestsPerVm: 100,
  maxQueuePerVm: 100,
  retryBudget: 1,
  connectionsPerTarget: 40,
  expectedAnswerBytes: 1000,
};

export default SERVICE;
