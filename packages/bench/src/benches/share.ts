/**
 * How much of the true capacity is used under skewed load.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type FleetOptions from '@burdockcove/specification/fleet/FleetOptions';
import VirtualFleet from '@burdockcove/specification/fleet/VirtualFleet';
import buildFleetOptions from '@burdockcove/specification/fleet/buildFleetOptions';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';

const SIZE = { regions: ['tartu'], vmsPerRegion: 4, targetsPerRegion: 8, slots: 7 };
const SERVICE_MS = 50;
const START_SECONDS = 5;
const RUN_SECONDS = 35;
const MS_PER_SECOND = 1_000;
/** The entry VM that takes most of the load changes this often, in milliseconds. */
const MOVE_MS = 10_000;
const MIN_USE = 0.9;

/** Load in all as a share of the capacity, and the part of it that one entry VM gets. */
interface Skew {
  readonly name: string;
  readonly load: number;
  readonly hotShare: number;
}

const SKEWS: readonly Skew[] = [
  { name: 'even load at 0.9', load: 0.9, hotShare: 0.25 },
  { name: '0.6 on one of four VMs at 0.9', load: 0.9, hotShare: 0.6 },
  { name: '0.9 on one of four VMs at 0.9', load: 0.9, hotShare: 0.9 },
  { name: '0.9 on one of four VMs at 1.2', load: 1.2, hotShare: 0.9 },
];

interface Outcome {
  readonly served: number;
  readonly offered: number;
  readonly exceeded: number;
}

function getCapacity(): number {
  return (SIZE.targetsPerRegion * SIZE.slots * MS_PER_SECOND) / SERVICE_MS;
}

function buildOptions(seed: number, skew: Skew, isLending: boolean): FleetOptions {
  const options = buildFleetOptions(seed, SIZE);
  const total = getCapacity() * skew.load;
  const cold = (total * (1 - skew.hotShare)) / (SIZE.vmsPerRegion - 1);
  const getRate = (vm: EntryVm, nowMs: number): number => {
    const hot = options.vms[Math.floor(nowMs / MOVE_MS) % SIZE.vmsPerRegion];
    return hot?.address === vm.address ? total * skew.hotShare : cold;
  };
  const never = { countLendable: () => 0, isRenewable: () => false };
  const policy = isLending ? options.policy : never;
  return { ...options, getRate, serviceMs: SERVICE_MS, policy };
}

async function runLoad(options: FleetOptions): Promise<Outcome> {
  const fleet = new VirtualFleet(options);
  await fleet.start();
  await fleet.runFor(RUN_SECONDS * MS_PER_SECOND);
  return {
    served: fleet.counts.sumServed(START_SECONDS, RUN_SECONDS),
    offered: fleet.counts.sumOffered(START_SECONDS, RUN_SECONDS),
    exceeded: fleet.truth.countExceeded(),
  };
}

async function measureSkew(seed: number, skew: Skew): Promise<readonly FigureDraft[]> {
  const loans = await runLoad(buildOptions(seed, skew, true));
  const split = await runLoad(buildOptions(seed, skew, false));
  const possible = (RUN_SECONDS - START_SECONDS) * getCapacity();
  return [
    {
      figure: `served of what perfect knowledge would, ${skew.name}`,
      value: loans.served / Math.min(loans.offered, possible),
      unit: 'share',
      baseline: split.served / Math.min(split.offered, possible),
      target: `at least ${MIN_USE}`,
      holds: (value) => value >= MIN_USE,
    },
    {
      figure: `requests beyond a target's slots, ${skew.name}`,
      value: loans.exceeded,
      unit: 'requests',
      target: 'none',
      holds: (value) => value === 0,
    },
  ];
}

const share: Bench = {
  name: 'share',
  summary: 'use of true capacity on skewed load; baseline: equal static split',
  async run(seed) {
    const figures: FigureDraft[] = [];
    for (const skew of SKEWS) {
      figures.push(...(await measureSkew(seed, skew)));
    }
    return figures;
  },
};

export default share;
