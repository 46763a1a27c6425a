/**
 * What survives the loss of one of three regions.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type FleetOptions from '@burdockcove/specification/fleet/FleetOptions';
import VirtualFleet from '@burdockcove/specification/fleet/VirtualFleet';
import buildFleetOptions from '@burdockcove/specification/fleet/buildFleetOptions';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';

const REGIONS = ['tartu', 'parnu', 'tallinn'];
const SIZE = { regions: REGIONS, vmsPerRegion: 3, targetsPerRegion: 4, slots: 7 };
const LOST = 'tartu';
const SERVICE_MS = 100;
/** Load of each region as a share of its capacity. */
const LOAD = 0.6;
const LOSS_SECOND = 12;
const RUN_SECONDS = 30;
const MS_PER_SECOND = 1_000;
/** Seconds after the loss by which service is to be whole again. */
const SETTLED_SECONDS = 3;
const MIN_ANSWERED = 0.95;

/** Parts of the lost region's requests that go to the nearest and to the farthest survivor. */
type Split = readonly [number, number];

interface Outcome {
  readonly perSecond: readonly number[];
  readonly settled: number;
  readonly peaks: readonly number[];
  readonly exceeded: number;
}

const REGION_SLOTS = SIZE.targetsPerRegion * SIZE.slots;

function getRate(vm: EntryVm, nowMs: number, split: Split): number {
  const rate = (REGION_SLOTS * MS_PER_SECOND * LOAD) / SERVICE_MS / SIZE.vmsPerRegion;
  const isLost = nowMs >= LOSS_SECOND * MS_PER_SECOND;
  if (!isLost || vm.region === LOST) {
    return isLost ? 0 : rate;
  }
  return rate * (1 + split[vm.region === REGIONS[1] ? 0 : 1]);
}

function buildOptions(seed: number, split: Split, isLending: boolean): FleetOptions {
  const options = buildFleetOptions(seed, SIZE);
  const names = options.configuration.targets.map((target) => target.name);
  const listTargets = (vm: EntryVm): readonly string[] => {
    const own = options.listTargets(vm);
    const others = names.filter((name) => !own.includes(name) && !name.includes(LOST));
    return isLending ? [...own, ...others] : own;
  };
  const never = { countLendable: () => 0, isRenewable: () => false };
  return {
    ...options,
    listTargets,
    serviceMs: SERVICE_MS,
    policy: isLending ? options.policy : never,
    getRate: (vm, nowMs) => getRate(vm, nowMs, split),
  };
}

async function runLoss(options: FleetOptions): Promise<Outcome> {
  const fleet = new VirtualFleet(options);
  await fleet.start();
  await fleet.runFor(LOSS_SECOND * MS_PER_SECOND);
  options.vms
    .filter((vm) => vm.region === LOST)
    .forEach((vm) => {
      fleet.nodes.get(vm.address)?.kill();
      fleet.members.scheduleRemoval(vm.address);
    });
  await fleet.runFor((RUN_SECONDS - LOSS_SECOND) * MS_PER_SECOND);
  const { counts, truth } = fleet;
  const getShare = (from: number, to: number): number =>
    counts.sumServed(from, to) / counts.sumOffered(from, to);
  const seconds = Array.from(
    { length: RUN_SECONDS - LOSS_SECOND },
    (_unused, index) => LOSS_SECOND + index,
  );
  return {
    perSecond: seconds.map((second) => getShare(second, second + 1)),
    settled: getShare(LOSS_SECOND + SETTLED_SECONDS, RUN_SECONDS),
    peaks: REGIONS.slice(1).map((region) => truth.getRegionPeak(region) / REGION_SLOTS),
    exceeded: truth.countExceeded(),
  };
}

function buildFigures(name: string, whole: Outcome, baseline: Outcome): readonly FigureDraft[] {
  return [
    {
      figure: `answered from ${SETTLED_SECONDS} s after the loss on, against ${name}`,
      value: whole.settled,
      unit: 'share',
      baseline: baseline.settled,
      target: `at least ${MIN_ANSWERED}`,
      holds: (value) => value >= MIN_ANSWERED,
    },
    {
      figure: `answered in the worst second, against ${name}`,
      value: Math.min(...whole.perSecond),
      unit: 'share',
      baseline: Math.min(...baseline.perSecond),
    },
  ];
}

const regionLoss: Bench = {
  name: 'region-loss',
  summary: 'answers after a region is lost; baselines: nearest live region, equal split',
  async run(seed) {
    const whole = await runLoss(buildOptions(seed, [1, 0], true));
    const nearest = await runLoss(buildOptions(seed, [1, 0], false));
    const equal = await runLoss(buildOptions(seed, [0.5, 0.5], false));
    return [
      ...buildFigures('nearest live region', whole, nearest),
      ...buildFigures('equal split', whole, equal),
      ...whole.perSecond.slice(0, 5).map((value, index) => ({
        figure: `answered in second ${index + 1} after the loss`,
        value,
        unit: 'share',
        baseline: nearest.perSecond[index],
      })),
      ...whole.peaks.map((value, index) => ({
        figure: `peak of ${REGIONS[index + 1]} against its limit`,
        value,
        unit: 'share',
        target: 'at most 1',
        holds: (peak: number) => peak <= 1,
      })),
      {
        figure: "requests beyond a target's slots",
        value: whole.exceeded,
        unit: 'requests',
        target: 'none',
        holds: (value: number) => value === 0,
      },
    ];
  },
};

export default regionLoss;
