/**
 * The cost of look-ups of entry VMs.
 */
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import EntriesLoad from './entries/EntriesLoad.js';
import EntriesProcess from './entries/EntriesProcess.js';
import measureLookUpCost from './entries/measureLookUpCost.js';
import buildPackages from './forward/buildPackages.js';

const ROUNDS = 3;
const WARM_UP_CALLERS = 16;
const WARM_UP_MS = 1500;
/** 6.6 million look-ups a second over 6,000 entry VMs. */
const TARGET_PER_SECOND = 1100;
const TARGET_CORE_SHARE = 0.1;
const US_PER_SECOND = 1_000_000;
/** Members of today's fleet, and of a fleet at the target size. */
const FLEETS = [12, 6000];

type Cost = Awaited<ReturnType<typeof measureLookUpCost>>;

interface Side {
  readonly process: EntriesProcess;
  readonly load: EntriesLoad;
  readonly costs: Cost[];
}

function computeMedian(costs: readonly Cost[], read: (cost: Cost) => number): number {
  const sorted = costs.map(read).sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function buildFigures(members: number, own: readonly Cost[], plain: readonly Cost[]) {
  const figures: readonly FigureDraft[] = [
    {
      figure: `look-ups at full speed, ${members} VMs`,
      value: 1 / computeMedian(own, (cost) => cost.secondsEach),
      baseline: 1 / computeMedian(plain, (cost) => cost.secondsEach),
      unit: 'per core-second',
      target: `at least ${TARGET_PER_SECOND} a second at a tenth of a core`,
      holds: (value) => value * TARGET_CORE_SHARE >= TARGET_PER_SECOND,
    },
    {
      figure: `processor time at full speed, ${members} VMs`,
      value: computeMedian(own, (cost) => cost.secondsEach) * US_PER_SECOND,
      baseline: computeMedian(plain, (cost) => cost.secondsEach) * US_PER_SECOND,
      unit: 'µs each',
    },
    {
      figure: `core share at ${TARGET_PER_SECOND} a second, ${members} VMs`,
      value: computeMedian(own, (cost) => cost.coreShare),
      baseline: computeMedian(plain, (cost) => cost.coreShare),
      unit: 'of a core',
      target: `at most ${TARGET_CORE_SHARE}`,
      holds: (value) => value <= TARGET_CORE_SHARE,
    },
    {
      figure: `rate kept in that, ${members} VMs`,
      value: computeMedian(own, (cost) => cost.openRate),
      baseline: computeMedian(plain, (cost) => cost.openRate),
      unit: 'per second',
    },
  ];
  return figures;
}

async function startSide(kind: 'node' | 'plain', members: number): Promise<Side> {
  const process = await EntriesProcess.start(kind, members);
  const load = new EntriesLoad(process.address);
  await load.runClosedLoop(WARM_UP_CALLERS, WARM_UP_MS);
  return { process, load, costs: [] };
}

async function measureFleet(members: number): Promise<readonly FigureDraft[]> {
  const sides = [await startSide('node', members), await startSide('plain', members)];
  try {
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const { process, load, costs } of sides) {
        costs.push(await measureLookUpCost(process, load, TARGET_PER_SECOND));
      }
    }
    return buildFigures(members, sides[0]?.costs ?? [], sides[1]?.costs ?? []);
  } finally {
    for (const { process, load } of sides) {
      await load.close();
      process.stop();
    }
  }
}

const entries: Bench = {
  name: 'entries',
  summary: 'look-ups of entry VMs through the real door, against a plain Node.js server',
  async run() {
    await buildPackages();
    const figures: FigureDraft[] = [];
    for (const members of FLEETS) {
      figures.push(...(await measureFleet(members)));
    }
    return figures;
  },
};

export default entries;
