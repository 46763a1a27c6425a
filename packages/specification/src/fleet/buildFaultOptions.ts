/**
 * The simulation that schedules of faults run against.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type FleetOptions from './FleetOptions.js';
import buildFleetOptions from './buildFleetOptions.js';

const SIZE = { regions: ['tartu', 'tallinn'], vmsPerRegion: 3, targetsPerRegion: 3, slots: 3 };
const SERVICE_MS = 100;
const HOT_RATE = 60;
const COLD_RATE = 8;
/** The VM of each region that takes most of the requests changes this often, in milliseconds. */
const HOT_MS = 3_000;
const UNCLEAN_SHARE = 0.03;
const LOSS_SHARE = 0.02;

function getRate(vm: EntryVm, nowMs: number): number {
  const position = Number(vm.address.split(':')[0]?.split('.')[3]) - 1;
  return Math.floor(nowMs / HOT_MS) % SIZE.vmsPerRegion === position ? HOT_RATE : COLD_RATE;
}

/** More load than slots at times, borrowed within and between regions, with lost messages and unclean ends. */
export default function buildFaultOptions(seed: number): FleetOptions {
  const options = buildFleetOptions(seed, SIZE);
  const all = options.configuration.targets.map((target) => target.name);
  const listTargets = (vm: EntryVm): readonly string[] => {
    const own = options.listTargets(vm);
    return [...own, ...all.filter((target) => !own.includes(target))];
  };
  return {
    ...options,
    getRate,
    listTargets,
    serviceMs: SERVICE_MS,
    uncleanShare: UNCLEAN_SHARE,
    lossShare: LOSS_SHARE,
  };
}
