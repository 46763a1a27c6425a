/**
 * A small configuration for tests: three regions, one service, labels on targets and places.
 */
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type Configuration from '@burdockcove/types/Configuration';
import type Labels from '@burdockcove/types/Labels';
import type Service from '@burdockcove/types/Service';
import type Target from '@burdockcove/types/Target';

const REGIONS = ['near', 'middle', 'far'];

const SERVICE: Service = {
  name: 'catalogue',
  match: [{ pathPrefix: '/lookups' }, { host: 'desk', pathPrefix: '/stock' }],
  objective: 'headroom',
  billed: true,
  operations: [
    { method: 'GET', pathPrefix: '/lookups', semantics: 'repeatable' },
    { method: '*', pathPrefix: '/prices', semantics: 'repeatable' },
  ],
  deadlineMs: 5000,
  maxRequestsPerVm: 100,
  maxQueuePerVm: 50,
  retryBudget: 0.1,
  connectionsPerTarget: 330,
  expectedAnswerBytes: 1000,
};

function buildTarget(region: string, number: number, labels: Labels): Target {
  return {
    name: `${region}-${number}`,
    service: 'catalogue',
    address: `127.9.${REGIONS.indexOf(region) + 1}.${number}:9100`,
    failureDomain: `${region}-a`,
    slots: 3,
    labels,
  };
}

const CONFIGURATION: Configuration = {
  version: 1,
  regions: REGIONS.map((name) => ({ name, labels: {}, maxInFlight: {} })),
  failureDomains: REGIONS.map((region) => ({ name: `${region}-a`, region, labels: {} })),
  links: [
    { between: ['near', 'middle'], megabitsPerSecond: 100, oneWayMs: 10 },
    { between: ['middle', 'far'], megabitsPerSecond: 100, oneWayMs: 15 },
    { between: ['far', 'near'], megabitsPerSecond: 100, oneWayMs: 20 },
  ],
  services: [SERVICE, { ...SERVICE, name: 'ledger', match: [], operations: [] }],
  targets: REGIONS.flatMap((region) => [
    buildTarget(region, 1, { track: 'steady' }),
    buildTarget(region, 2, { track: 'new' }),
  ]),
  selectors: [
    {
      name: 'tracks',
      service: 'catalogue',
      clientRegions: [],
      routes: [
        { targets: { track: 'steady' }, weight: 70 },
        { targets: { track: 'new' }, weight: 30 },
      ],
      overflow: true,
      shift: { cap: 0.1, windowSeconds: 60 },
    },
  ],
  clientBlocks: REGIONS.map((region, index) => ({ cidr: `10.${index + 1}.0.0/16`, region })),
  entriesMaxAgeSeconds: 10,
  maxEntryVms: 12,
};

/** The configuration with some parts replaced, as accepted at a revision. */
export default function buildAccepted(
  parts: Partial<Configuration> = {},
  revision = 1,
): AcceptedConfiguration {
  return {
    version: 1,
    revision,
    changeId: `change-${revision}`,
    operator: 'test',
    reason: 'test',
    baseRevision: revision - 1,
    acceptedAt: '2026-12-04T00:00:00.000Z',
    configuration: { ...CONFIGURATION, ...parts },
  };
}
