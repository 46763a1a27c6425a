/**
 * The `balance` measurement: choice of targets against simple ways, in virtual time.
 */
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import type BalanceResult from './balance/BalanceResult.js';
import type BalanceWay from './balance/BalanceWay.js';
import runBalance from './balance/runBalance.js';
import runObjective from './balance/runObjective.js';

const LOADS = [0.5, 0.7, 0.9];
const JUDGED_LOAD = 0.9;
const OWN_WAYS: readonly BalanceWay[] = ['loans', 'split', 'pooled'];
const BASELINES: readonly BalanceWay[] = ['random', 'round-robin', 'least-in-flight'];

interface Value {
  readonly name: string;
  readonly unit: string;
  read(result: BalanceResult): number;
}

const VALUES: readonly Value[] = [
  { name: 'p50', unit: 'ms', read: ({ statistics }) => statistics.computeQuantile(0.5) },
  { name: 'p99', unit: 'ms', read: ({ statistics }) => statistics.computeQuantile(0.99) },
  {
    name: 'answered p99',
    unit: 'ms',
    read: ({ statistics }) => statistics.computeAnsweredQuantile(0.99),
  },
  { name: 'shed share', unit: 'of attempts', read: ({ shedShare }) => shedShare },
  {
    name: 'unanswered share',
    unit: 'of requests',
    read: ({ statistics }) => 1 - statistics.getShare('answered'),
  },
];

function buildPercent(load: number): string {
  return `${String(Math.round(100 * load))}%`;
}

function listOwn(way: BalanceWay, load: number, result: BalanceResult): readonly FigureDraft[] {
  return VALUES.map(({ name, unit, read }) => ({
    figure: `${name} at ${buildPercent(load)}, ${way}`,
    value: read(result),
    unit,
  }));
}

/** The shipped way, which lends slots, against one baseline. */
function listAgainst(
  baseline: BalanceWay,
  load: number,
  own: BalanceResult,
  other: BalanceResult,
): readonly FigureDraft[] {
  return VALUES.map(({ name, unit, read }) => {
    const isJudged = load === JUDGED_LOAD && (name === 'p99' || name === 'shed share');
    const draft = {
      figure: `${name} at ${buildPercent(load)} against ${baseline}`,
      value: read(own),
      unit,
      baseline: read(other),
    };
    return isJudged
      ? { ...draft, target: 'below the baseline', holds: (value) => value < read(other) }
      : draft;
  });
}

async function runLoad(load: number, seed: number): Promise<readonly FigureDraft[]> {
  const drafts: FigureDraft[] = [];
  const results = new Map<BalanceWay, BalanceResult>();
  for (const way of OWN_WAYS) {
    const result = await runBalance(way, load, seed);
    results.set(way, result);
    drafts.push(...listOwn(way, load, result));
  }
  for (const baseline of BASELINES) {
    const other = await runBalance(baseline, load, seed);
    drafts.push(...listAgainst(baseline, load, results.get('loans') as BalanceResult, other));
  }
  return drafts;
}

async function runObjectives(seed: number): Promise<readonly FigureDraft[]> {
  const headroom = await runObjective('headroom', seed);
  const latency = await runObjective('latency', seed);
  const values = [
    { name: 'use of the near region', unit: 'of slots', read: 'nearUse' },
    { name: 'use of the far region', unit: 'of slots', read: 'farUse' },
  ] as const;
  const uses = values.map(({ name, unit, read }) => ({
    figure: `${name}, headroom against latency`,
    value: headroom[read],
    unit,
    baseline: latency[read],
  }));
  const quantiles = [0.5, 0.9, 0.99].map((quantile) => ({
    figure: `p${String(100 * quantile)}, headroom against latency`,
    value: headroom.statistics.computeQuantile(quantile),
    unit: 'ms',
    baseline: latency.statistics.computeQuantile(quantile),
  }));
  return [...uses, ...quantiles];
}

const balance: Bench = {
  name: 'balance',
  summary: 'latency and sheds of the choice of targets against simple ways, in virtual time',
  async run(seed) {
    const drafts: FigureDraft[] = [];
    for (const load of LOADS) {
      drafts.push(...(await runLoad(load, seed)));
    }
    return [...drafts, ...(await runObjectives(seed))];
  },
};

export default balance;
