/**
 * Simulations of a small deployment.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Selector from '@burdockcove/types/Selector';
import type Target from '@burdockcove/types/Target';
import DEFAULT_SHARE_TIMING from '@burdockcove/shares/DEFAULT_SHARE_TIMING';
import IdleLendingPolicy from '@burdockcove/shares/IdleLendingPolicy';
import type FleetOptions from './FleetOptions.js';

const SERVICE = 'rota';
const DEADLINE_MS = 2_000;
const LENDING_RESERVE = 0.25;
const LINK_MEGABITS = 280;

/** How large the deployment is. */
interface FleetSize {
  readonly regions: readonly string[];
  readonly vmsPerRegion: number;
  readonly targetsPerRegion: number;
  readonly slots: number;
}

function buildVms(size: FleetSize): readonly EntryVm[] {
  return size.regions.flatMap((region, regionIndex) =>
    Array.from({ length: size.vmsPerRegion }, (_unused, index) => {
      const ip = `127.0.${regionIndex + 1}.${index + 1}`;
      const failureDomain = `${region}-${index % 2 === 0 ? 'a' : 'b'}`;
      // One address for callers and peers, so that the network has one name for both.
      return { address: `${ip}:7000`, peerAddress: `${ip}:7000`, region, failureDomain };
    }),
  );
}

function buildTargets(size: FleetSize): readonly Target[] {
  return size.regions.flatMap((region, regionIndex) =>
    Array.from({ length: size.targetsPerRegion }, (_unused, index) => ({
      name: `${SERVICE}-${region}-${index + 1}`,
      service: SERVICE,
      address: `127.1.${regionIndex + 1}.${index + 1}:8000`,
      failureDomain: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
      slots: size.slots,
      labels: {},
    })),
  );
}

function buildSelector(regions: readonly string[]): Selector {
  const routes = regions.map((region, index) => ({
    targets: { region },
    weight: index === 0 ? 1 : 0,
  }));
  return {
    name: 'all',
    service: SERVICE,
    clientRegions: [],
    routes,
    overflow: true,
    shift: { cap: 0.1, windowSeconds: 5 },
  };
}

function buildConfiguration(size: FleetSize): Configuration {
  const { regions } = size;
  return {
    version: 1,
    regions: regions.map((name) => ({ name, labels: {}, maxInFlight: {} })),
    failureDomains: regions.flatMap((region) =>
      ['a', 'b'].map((part) => ({ name: `${region}-${part}`, region, labels: {} })),
    ),
    links: regions.flatMap((first, index) =>
      regions.slice(index + 1).map((second) => ({
        between: [first, second] as const,
        megabitsPerSecond: LINK_MEGABITS,
        oneWayMs: 35,
      })),
    ),
    services: [
      {
        name: SERVICE,
        match: [],
        objective: 'latency',
        billed: false,
        operations: [],
        deadlineMs: DEADLINE_MS,
        maxRequestsPerVm: 1_000,
        maxQueuePerVm: 1_000,
        retryBudget: 0.1,
        connectionsPerTarget: 390,
        expectedAnswerBytes: 20_000,
      },
    ],
    targets: buildTargets(size),
    selectors: [buildSelector(regions)],
    clientBlocks: [],
    entriesMaxAgeSeconds: 5,
    maxEntryVms: 12,
  };
}

/** Options of a quiet run; callers change what they need. */
export default function buildFleetOptions(seed: number, size: FleetSize): FleetOptions {
  const configuration = buildConfiguration(size);
  const names = new Map(
    size.regions.map((region) => [
      region,
      configuration.targets
        .filter((target) => target.failureDomain.startsWith(`${region}-`))
        .map((target) => target.name),
    ]),
  );
  return {
    seed,
    configuration,
    vms: buildVms(size),
    timing: DEFAULT_SHARE_TIMING,
    policy: new IdleLendingPolicy(LENDING_RESERVE),
    evidence: { evaluateStep: async () => ({ _tag: 'Clear', detail: 'simulation' }) },
    delayMs: [0.3, 2],
    lossShare: 0,
    replicaLagMs: 200,
    listLagMs: 3_000,
    getRate: () => 20,
    listTargets: (vm) => names.get(vm.region) ?? [],
    serviceMs: 50,
    uncleanShare: 0,
    queueLimit: 100,
  };
}
