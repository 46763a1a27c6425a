/**
 * Time until an accepted change is in force on the last entry VM.
 */
import FakeClock from '@burdockcove/runtime/FakeClock';
import FleetStandIn from '@burdockcove/standins/fleet/FleetStandIn';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import PollingNode from './control/PollingNode.js';
import buildBenchPlaces from './control/buildBenchPlaces.js';
import measurePropagation from './control/measurePropagation.js';

const SIZES = [12, 50, 200];
const ONE_WAY_MS = 20;
const WARM_UP_MS = 8_000;
const LIMIT_MS = 60_000;
const ROUNDS = 3;
const TARGET_TODAY_MS = 2_000;
const TARGET_SIZE_MS = 15_000;
const KEY = 'state/bench';

function hasValue(fleet: FleetStandIn, value: string): boolean {
  return fleet.nodes.every(({ plane }) => plane?.replica.table.getEntry(KEY)?.value === value);
}

async function startFleet(size: number, seed: number): Promise<[FakeClock, FleetStandIn]> {
  const clock = new FakeClock();
  const options = { clock, seed, networkDelayMs: ONE_WAY_MS };
  const fleet = new FleetStandIn(options, buildBenchPlaces(size));
  await fleet.putState(KEY, 'first');
  fleet.startAll();
  await clock.advance(WARM_UP_MS);
  return [clock, fleet];
}

/** The longest of a few changes with the store up. */
async function measureStoreUp(size: number, seed: number): Promise<number> {
  const [clock, fleet] = await startFleet(size, seed);
  let longestMs = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const value = `change-${round}`;
    await fleet.putState(KEY, value);
    const tookMs = await measurePropagation(clock, () => hasValue(fleet, value), LIMIT_MS);
    longestMs = Math.max(longestMs, tookMs);
    await clock.advance(TARGET_TODAY_MS);
  }
  fleet.killAll();
  await clock.advance(0);
  return longestMs;
}

/** The store goes down right after one relay has seen the change. */
async function measureStoreDown(size: number, seed: number): Promise<number> {
  const [clock, fleet] = await startFleet(size, seed);
  const relay = fleet.nodes.find((node) => node.store.countWatches() > 0);
  fleet.nodes.filter((node) => node !== relay).forEach((node) => node.store.setCut(true));
  await fleet.putState(KEY, 'last');
  fleet.store.setDown(true);
  const tookMs = await measurePropagation(clock, () => hasValue(fleet, 'last'), LIMIT_MS);
  fleet.killAll();
  await clock.advance(0);
  return tookMs;
}

/** Every VM follows the store by itself; with the store down the rest never learn of the change. */
async function measureNaive(size: number, seed: number, isDown: boolean): Promise<number> {
  const clock = new FakeClock();
  const store = new StoreStandIn(clock);
  const nodes = Array.from(
    { length: size },
    (_, index) => new PollingNode(clock, store, seed + index),
  );
  nodes.forEach((node) => node.start());
  await clock.advance(WARM_UP_MS);
  if (isDown) {
    nodes.slice(1).forEach((node) => node.stop());
  }
  await store.commitTransaction({ compares: [], puts: [{ key: KEY, value: 'x' }], deletes: [] })();
  store.setDown(isDown);
  const hasAll = (): boolean =>
    nodes.every(({ replica }) => replica.table.getEntry(KEY) !== undefined);
  const tookMs = await measurePropagation(clock, hasAll, LIMIT_MS);
  nodes.forEach((node) => node.stop());
  await clock.advance(0);
  return tookMs;
}

async function measureSize(size: number, seed: number): Promise<readonly FigureDraft[]> {
  const limitMs = size === SIZES[0] ? TARGET_TODAY_MS : TARGET_SIZE_MS;
  const target = `at most ${limitMs} ms`;
  const holds = (value: number): boolean => value <= limitMs;
  return [
    {
      figure: `last of ${size} VMs, store up`,
      value: await measureStoreUp(size, seed),
      unit: 'ms',
      baseline: await measureNaive(size, seed, false),
      target,
      holds,
    },
    {
      figure: `last of ${size} VMs, store down after one relay`,
      value: await measureStoreDown(size, seed),
      unit: 'ms',
      baseline: await measureNaive(size, seed, true),
      target,
      holds,
    },
  ];
}

/** Virtual time over a network in memory with 20 ms one way; the baseline is capped at 60 s. */
const propagate: Bench = {
  name: 'propagate',
  summary: 'time until a change is in force on the last entry VM, store up and down',
  async run(seed) {
    const figures: FigureDraft[] = [];
    for (const size of SIZES) {
      figures.push(...(await measureSize(size, seed)));
    }
    return figures;
  },
};

export default propagate;
