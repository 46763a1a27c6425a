/**
 * Calls of the store by cause, quiet and in a storm of restarts.
 */
import FakeClock from '@burdockcove/runtime/FakeClock';
import FleetStandIn from '@burdockcove/standins/fleet/FleetStandIn';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import PollingNode from './control/PollingNode.js';
import buildBenchPlaces from './control/buildBenchPlaces.js';

const SIZES = [12, 50, 200];
const WARM_UP_MS = 20_000;
const QUIET_MS = 30_000;
const STORM_MS = 10_000;
const MS_PER_SECOND = 1_000;
const READ_LIMIT = 2_000;
const WRITE_LIMIT = 500;
const REPLICA_KINDS = ['list', 'watch'];
const ROLE_READ_KINDS = ['read'];
const ROLE_WRITE_KINDS = ['commit', 'grant', 'keep-alive', 'revoke'];

/** Calls a second by cause, each waiting watch counted as one. */
interface StoreLoad {
  readonly replicaReads: number;
  readonly roleReads: number;
  readonly roleWrites: number;
}

async function measureLoad(
  clock: FakeClock,
  store: StoreStandIn,
  durationMs: number,
  restart: (step: number) => void,
): Promise<StoreLoad> {
  const count = (kinds: readonly string[]): number =>
    kinds.reduce((sum, kind) => sum + (store.meter.getCounts().get(kind) ?? 0), 0);
  const causes = [REPLICA_KINDS, ROLE_READ_KINDS, ROLE_WRITE_KINDS];
  const before = causes.map(count);
  let watches = 0;
  const seconds = durationMs / MS_PER_SECOND;
  for (let second = 0; second < seconds; second += 1) {
    restart(second / seconds);
    await clock.advance(MS_PER_SECOND);
    watches += store.meter.getOpenWatches();
  }
  const [replica = 0, roleReads = 0, roleWrites = 0] = causes.map(
    (kinds, index) => (count(kinds) - (before[index] ?? 0)) / seconds,
  );
  return { replicaReads: replica + watches / seconds, roleReads, roleWrites };
}

interface Nodes {
  readonly count: number;
  readonly restart: (index: number) => void;
}

/** Restarts every node once, evenly over the storm. */
function buildStorm(nodes: Nodes): (share: number) => void {
  let next = 0;
  return (share) => {
    const due = Math.ceil((share + MS_PER_SECOND / STORM_MS) * nodes.count);
    for (; next < Math.min(due, nodes.count); next += 1) {
      nodes.restart(next);
    }
  };
}

async function measureFleet(size: number, seed: number): Promise<readonly [StoreLoad, StoreLoad]> {
  const clock = new FakeClock();
  const fleet = new FleetStandIn({ clock, seed }, buildBenchPlaces(size));
  fleet.startAll();
  await clock.advance(WARM_UP_MS);
  const quiet = await measureLoad(clock, fleet.store, QUIET_MS, () => undefined);
  const restart = (index: number): void => {
    fleet.nodes[index]?.kill();
    fleet.nodes[index]?.start();
  };
  const storm = await measureLoad(
    clock,
    fleet.store,
    STORM_MS,
    buildStorm({ count: size, restart }),
  );
  fleet.killAll();
  await clock.advance(0);
  return [quiet, storm];
}

async function measureNaive(size: number, seed: number): Promise<readonly [StoreLoad, StoreLoad]> {
  const clock = new FakeClock();
  const store = new StoreStandIn(clock);
  const nodes = Array.from(
    { length: size },
    (_, index) => new PollingNode(clock, store, seed + index),
  );
  nodes.forEach((node) => node.start());
  await clock.advance(WARM_UP_MS);
  const quiet = await measureLoad(clock, store, QUIET_MS, () => undefined);
  const restart = (index: number): void => {
    nodes[index]?.stop();
    nodes[index]?.start();
  };
  const storm = await measureLoad(clock, store, STORM_MS, buildStorm({ count: size, restart }));
  nodes.forEach((node) => node.stop());
  await clock.advance(0);
  return [quiet, storm];
}

function listFigures(when: string, load: StoreLoad, naive: StoreLoad): readonly FigureDraft[] {
  const unit = 'calls/s';
  const isBelow = (limit: number) => ({
    unit,
    target: `at most ${limit} a second`,
    holds: (value: number): boolean => value <= limit,
  });
  return [
    {
      figure: `${when}: reads for the replica`,
      value: load.replicaReads,
      baseline: naive.replicaReads,
      ...isBelow(READ_LIMIT),
    },
    { figure: `${when}: reads for roles`, value: load.roleReads, ...isBelow(READ_LIMIT) },
    { figure: `${when}: writes for roles`, value: load.roleWrites, ...isBelow(WRITE_LIMIT) },
  ];
}

/** Virtual time; reads count each waiting watch as one call a second. */
const storeCalls: Bench = {
  name: 'store-calls',
  summary: 'calls of the store a second, quiet and in a storm of restarts',
  async run(seed) {
    const figures: FigureDraft[] = [];
    for (const size of SIZES) {
      const [quiet, storm] = await measureFleet(size, seed);
      const [naiveQuiet, naiveStorm] = await measureNaive(size, seed);
      figures.push(
        ...listFigures(`${size} VMs, quiet`, quiet, naiveQuiet),
        ...listFigures(`${size} VMs, all restarted in 10 s`, storm, naiveStorm),
      );
    }
    return figures;
  },
};

export default storeCalls;
