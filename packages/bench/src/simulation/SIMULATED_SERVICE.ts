/**
 * The service that simulations send requests of.
 */
import type Service from '@burdockcove/types/Service';

/** Close to the Association's catalogue desk. */
const SIMULATED_SERVICE: Service = {
  name: 'desk',
  match: [],
  objective: 'headroom',
  billed: true,
  operations: [],
  deadlineMs: 2_000,
  maxRequestsPerVm: 1_000,
  maxQueuePerVm: 100,
  retryBudget: 0.1,
  connectionsPerTarget: 330,
  expectedAnswerBytes: 2_000,
};

export default SIMULATED_SERVICE;
