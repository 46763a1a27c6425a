/**
 * What a fleet of entry VMs costs: the real control code over a network in memory, in virtual time.
 */
import FakeClock from '@burdockcove/runtime/FakeClock';
import FleetStandIn from '@burdockcove/standins/fleet/FleetStandIn';
import buildBenchPlaces from '../../benches/control/buildBenchPlaces.js';
import measurePropagation from '../../benches/control/measurePropagation.js';
import type SlopeMeasurement from '../SlopeMeasurement.js';

const SIZES = [24, 48, 96, 192];
const NODES_PER_DOMAIN = 4;
const DOMAIN_SIZES = [3, 6, 12, 24];
const WARM_UP_MS = 10_000;
/** Long enough for the news of the start to have died out in the largest fleet. */
const QUIET_AFTER_MS = 150_000;
const WATCH_MS = 10_000;
const LIMIT_MS = 60_000;
const ONE_WAY_MS = 20;
const MS_PER_SECOND = 1000;
const KEY = 'state/slope';

function readHeldBytes(): number {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

type Places =
  Parameters<typeof buildBenchPlaces> extends [number]
    ? ReturnType<typeof buildBenchPlaces>
    : never;

async function withFleet(
  places: Places,
  seed: number,
  measure: (fleet: FleetStandIn, clock: FakeClock) => Promise<number>,
  warmUpMs = WARM_UP_MS,
): Promise<number> {
  const clock = new FakeClock();
  const fleet = new FleetStandIn({ clock, seed, networkDelayMs: ONE_WAY_MS }, places);
  await fleet.putState(KEY, 'first');
  fleet.startAll();
  await clock.advance(warmUpMs);
  const value = await measure(fleet, clock);
  fleet.killAll();
  await clock.advance(0);
  return value;
}

function buildDomains(count: number): Places {
  return Array.from({ length: count * NODES_PER_DOMAIN }, (_none, index) => ({
    region: `region-${index % count}`,
    failureDomain: `domain-${index % count}`,
  }));
}

const fleetMeasurements: readonly SlopeMeasurement[] = [
  {
    name: 'exchange-bytes',
    summary: 'Control bytes a second of each entry VM, quiet, both ways',
    per: 'nodes',
    unit: 'bytes/s',
    sizes: SIZES,
    measure: (size, seed) =>
      withFleet(
        buildBenchPlaces(size),
        seed,
        async (fleet, clock) => {
          const before = fleet.network.meter.countBytes();
          await clock.advance(WATCH_MS);
          const bytes = fleet.network.meter.countBytes() - before;
          return (2 * bytes * MS_PER_SECOND) / WATCH_MS / size;
        },
        QUIET_AFTER_MS,
      ),
  },
  {
    name: 'exchange-calls',
    summary: 'Calls between entry VMs a second, started by each, quiet',
    per: 'nodes',
    unit: 'calls/s',
    sizes: SIZES,
    measure: (size, seed) =>
      withFleet(buildBenchPlaces(size), seed, async (fleet, clock) => {
        const before = fleet.network.countCalls();
        await clock.advance(WATCH_MS);
        return ((fleet.network.countCalls() - before) * MS_PER_SECOND) / WATCH_MS / size;
      }),
  },
  {
    name: 'control-memory',
    summary: 'Memory of control in each entry VM, libraries not counted',
    per: 'nodes',
    unit: 'bytes',
    sizes: SIZES,
    measure: async (size, seed) => {
      const before = readHeldBytes();
      return withFleet(buildBenchPlaces(size), seed, async () => (readHeldBytes() - before) / size);
    },
  },
  {
    name: 'control-cpu',
    summary: 'Processor time of control in each entry VM, quiet, network in memory',
    per: 'nodes',
    unit: 'ms/s',
    sizes: SIZES,
    measure: (size, seed) =>
      withFleet(
        buildBenchPlaces(size),
        seed,
        async (_fleet, clock) => {
          const before = process.cpuUsage();
          await clock.advance(WATCH_MS);
          const { user, system } = process.cpuUsage(before);
          return (user + system) / WATCH_MS / size;
        },
        QUIET_AFTER_MS,
      ),
  },
  {
    name: 'in-force-ms',
    summary: 'Time until a change is in force on the last entry VM',
    per: 'nodes',
    unit: 'ms',
    sizes: SIZES,
    measure: (size, seed) =>
      withFleet(buildBenchPlaces(size), seed, async (fleet, clock) => {
        await fleet.putState(KEY, 'second');
        const hasAll = (): boolean =>
          fleet.nodes.every(({ plane }) => plane?.replica.table.getEntry(KEY)?.value === 'second');
        return measurePropagation(clock, hasAll, LIMIT_MS);
      }),
  },
  {
    name: 'store-watches',
    summary: 'Watches waiting at the store',
    per: 'domains',
    unit: 'watches',
    sizes: DOMAIN_SIZES,
    measure: (size, seed) =>
      withFleet(buildDomains(size), seed, async (fleet) => fleet.store.meter.getOpenWatches()),
  },
  {
    name: 'store-reads',
    summary: 'Reads of the store a second, quiet, without waiting watches',
    per: 'domains',
    unit: 'reads/s',
    sizes: DOMAIN_SIZES,
    measure: (size, seed) =>
      withFleet(buildDomains(size), seed, async (fleet, clock) => {
        const count = (): number =>
          ['read', 'list', 'watch'].reduce(
            (sum, kind) => sum + (fleet.store.meter.getCounts().get(kind) ?? 0),
            0,
          );
        const before = count();
        await clock.advance(WATCH_MS);
        return ((count() - before) * MS_PER_SECOND) / WATCH_MS;
      }),
  },
];

export default fleetMeasurements;
