/**
 * Every default of settings and configuration.
 */

/** Values used where a file leaves a key out; times in milliseconds unless named otherwise. */
const defaults = {
  settings: {
    callerPort: 8080,
    peerPort: 8081,
    adminPort: 8082,
    storePrefix: 'burdockcove/',
    vmListPollMs: 1000,
    logLevel: 'info',
    logFormat: 'json',
    stopLimitMs: 60_000,
  },
  configuration: {
    deadlineMs: 10_000,
    maxRequestsPerVm: 400,
    maxQueuePerVm: 200,
    retryBudget: 0.1,
    expectedAnswerBytes: 16_384,
    entriesMaxAgeSeconds: 10,
  },
} as const;

export default defaults;
