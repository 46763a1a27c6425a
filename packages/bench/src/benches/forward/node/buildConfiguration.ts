/**
 * The configuration of the forward bench.
 */
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';

/** One service with one target at the address. */
export default function buildConfiguration(address: string, slots: number): AcceptedConfiguration {
  return {
    version: 1,
    revision: 1,
    changeId: 'bench',
    operator: 'bench',
    reason: 'bench',
    baseRevision: 0,
    acceptedAt: '2026-12-04T00:00:00Z',
    configuration: {
      version: 1,
      regions: [{ name: 'jabar', labels: {}, maxInFlight: {} }],
      failureDomains: [{ name: 'bdg-a', region: 'jabar', labels: {} }],
      links: [],
      services: [
        {
          name: 'desk',
          match: [],
          objective: 'latency',
          billed: true,
          operations: [{ method: 'GET', pathPrefix: '/', semantics: 'repeatable' }],
          deadlineMs: 5000,
          memberHeader: 'member',
          maxRequestsPerVm: 1000,
          maxQueuePerVm: 1000,
          retryBudget: 0.1,
          connectionsPerTarget: slots,
          expectedAnswerBytes: 1024,
        },
      ],
      targets: [
        {
          name: 'desk-1',
          service: 'desk',
          address,
          failureDomain: 'bdg-a',
          slots,
          labels: {},
        },
      ],
      selectors: [],
      clientBlocks: [{ cidr: '127.0.0.0/8', region: 'jabar' }],
      entriesMaxAgeSeconds: 10,
      maxEntryVms: 1,
    },
  };
}
