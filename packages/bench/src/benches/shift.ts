/**
 * The largest move of a capped shift, with an entry VM paused and the role's holder replaced.
 */
import type Selector from '@burdockcove/types/Selector';
import ShiftTruth from '@burdockcove/specification/fleet/ShiftTruth';
import VirtualFleet from '@burdockcove/specification/fleet/VirtualFleet';
import buildFleetOptions from '@burdockcove/specification/fleet/buildFleetOptions';
import computeRoutes from '@burdockcove/shares/shift/computeRoutes';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';

const SIZE = { regions: ['tartu', 'parnu'], vmsPerRegion: 3, targetsPerRegion: 2, slots: 4 };
const CAP = 0.1;
const WINDOW_SECONDS = 5;
const MS_PER_SECOND = 1_000;
const SETTLE_MS = 3_000;
const PAUSE_AT_MS = 12_000;
const PAUSE_MS = 16_000;
const REPLACE_AT_MS = 35_000;
const LIMIT_MS = 240_000;
const STEP_MS = 250;
const ROUNDING = 1e-6;

function turnWeights(selector: Selector): Selector {
  const [first, second] = selector.routes;
  return first === undefined || second === undefined
    ? selector
    : {
        ...selector,
        routes: [
          { ...first, weight: 0 },
          { ...second, weight: 1 },
        ],
      };
}

function scheduleFaults(fleet: VirtualFleet): void {
  fleet.time.schedule(PAUSE_AT_MS, () => {
    const holder = fleet.roles.getHolder('shift');
    const paused = [...fleet.nodes.values()].find((node) => node.vm.address !== holder);
    paused?.process.pause();
    fleet.time.schedule(PAUSE_MS, () => paused?.process.resume());
  });
  fleet.time.schedule(REPLACE_AT_MS, () => fleet.roles.lapse('shift'));
}

/** True once every entry VM sends everything to the second region. */
function isDone(fleet: VirtualFleet): boolean {
  return [...fleet.nodes.values()].every((node) => {
    const routes = node.positions.getRoutes('all');
    return (routes.find((route) => route.targets.region === 'parnu')?.weight ?? 0) > 1 - ROUNDING;
  });
}

/** Shifts all traffic; returns the largest move in a window and the time taken, in seconds. */
async function runShift(seed: number, withFaults: boolean): Promise<readonly [number, number]> {
  const options = buildFleetOptions(seed, SIZE);
  const fleet = new VirtualFleet({ ...options, getRate: () => 0 });
  await fleet.start();
  await fleet.runFor(SETTLE_MS);
  const configuration = fleet.getConfiguration();
  const selectors = configuration.selectors.map(turnWeights);
  await fleet.storeConfiguration({ ...configuration, selectors });
  if (withFaults) {
    scheduleFaults(fleet);
  }
  const startMs = fleet.time.getNowMs();
  while (!isDone(fleet) && fleet.time.getNowMs() - startMs < LIMIT_MS) {
    await fleet.runFor(STEP_MS);
  }
  const seconds = (fleet.time.getNowMs() - startMs) / MS_PER_SECOND;
  return [fleet.shiftTruth.getLargestMove(), seconds];
}

/** Each entry VM steps on its own clock from when it learned the weights, and catches up after a pause. */
function measureUncoordinated(withFaults: boolean): number {
  const [from, to] = [
    [{ targets: { region: 'tartu' }, weight: 1 }],
    [{ targets: { region: 'parnu' }, weight: 1 }],
  ];
  const truth = new ShiftTruth(WINDOW_SECONDS * MS_PER_SECOND);
  const count = SIZE.regions.length * SIZE.vmsPerRegion;
  const getPosition = (vm: number, nowMs: number): number => {
    const isPaused = vm === 0 && nowMs >= PAUSE_AT_MS && nowMs < PAUSE_AT_MS + PAUSE_MS;
    const atMs = (withFaults && isPaused ? PAUSE_AT_MS : nowMs) - vm * STEP_MS;
    const steps = Math.max(0, Math.floor(atMs / MS_PER_SECOND / WINDOW_SECONDS));
    return Math.min(1, steps * CAP);
  };
  for (let nowMs = 0; nowMs < LIMIT_MS / 2; nowMs += STEP_MS) {
    const routes = Array.from(
      { length: count },
      (_unused, vm) => [String(vm), computeRoutes(from, to, getPosition(vm, nowMs))] as const,
    );
    truth.noteRoutes(nowMs, new Map(routes));
  }
  return truth.getLargestMove();
}

async function measureShift(seed: number, withFaults: boolean): Promise<readonly FigureDraft[]> {
  const [move, seconds] = await runShift(seed, withFaults);
  const words = withFaults ? 'a VM paused and the holder replaced' : 'no faults';
  return [
    {
      figure: `largest move in a window, ${words}`,
      value: move,
      unit: 'share',
      baseline: measureUncoordinated(withFaults),
      target: `at most the cap of ${CAP}`,
      holds: (value) => value > 0 && value <= CAP + ROUNDING,
    },
    {
      figure: `time to shift everything, ${words}`,
      value: seconds,
      unit: 's',
      baseline: WINDOW_SECONDS / CAP,
    },
  ];
}

const shift: Bench = {
  name: 'shift',
  summary: 'largest move of a capped shift in any window; baseline: a cap at each VM by itself',
  async run(seed) {
    return [...(await measureShift(seed, false)), ...(await measureShift(seed, true))];
  },
};

export default shift;
