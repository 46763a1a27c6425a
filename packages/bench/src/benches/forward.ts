/**
 * The cost of forwarding: one entry VM against direct calls and a plain pass-through.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import Random from '@burdockcove/runtime/Random';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import buildPackages from './forward/buildPackages.js';
import LoadClient from './forward/LoadClient.js';
import runClosedLoop from './forward/runClosedLoop.js';
import runOpenLoop from './forward/runOpenLoop.js';
import startProcess from './forward/startProcess.js';

/** Short rounds in turn, so that what else the machine does weighs on all ways alike. */
const CLOSED_ROUNDS = 12;
const OPEN_ROUNDS = 24;
const CALLERS = 32;
const WARM_UP_MS = 4000;
const CLOSED_ROUND_MS = 500;
const OPEN_ROUND_MS = 400;
/** Open-loop rate as a share of the pass-through's throughput. */
const OPEN_LOOP_SHARE = 0.25;
const US_PER_MS = 1000;
const MIN_THROUGHPUT_RATIO = 0.8;
const MAX_P99_RATIO = 1.5;

const WAYS = ['direct', 'passThrough', 'node'] as const;
type Way = (typeof WAYS)[number];
type ByWay<T> = Record<Way, T>;

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

async function measureThroughput(clients: ByWay<LoadClient>): Promise<ByWay<number>> {
  const rates: ByWay<number[]> = { direct: [], passThrough: [], node: [] };
  for (let round = 0; round < CLOSED_ROUNDS; round += 1) {
    for (const way of WAYS) {
      rates[way].push(await runClosedLoop(clients[way], CALLERS, CLOSED_ROUND_MS));
    }
  }
  return {
    direct: computeMedian(rates.direct),
    passThrough: computeMedian(rates.passThrough),
    node: computeMedian(rates.node),
  };
}

/** Latencies of each round by itself. */
async function measureLatency(
  clients: ByWay<LoadClient>,
  ratePerSecond: number,
): Promise<readonly ByWay<Histogram>[]> {
  const rounds: ByWay<Histogram>[] = [];
  for (let round = 0; round < OPEN_ROUNDS; round += 1) {
    const latencies = { direct: build(), passThrough: build(), node: build() };
    for (const way of WAYS) {
      await runOpenLoop(clients[way], ratePerSecond, OPEN_ROUND_MS, latencies[way]);
    }
    rounds.push(latencies);
  }
  return rounds;
}

/** The median over the rounds of what was added to direct calls at the percentile. */
function buildAdded(rounds: readonly ByWay<Histogram>[], percentile: number): FigureDraft {
  const computeAdded = (way: Way): number =>
    computeMedian(
      rounds.map(
        (latencies) =>
          latencies[way].getValueAtPercentile(percentile) -
          latencies.direct.getValueAtPercentile(percentile),
      ),
    ) / US_PER_MS;
  const draft = {
    figure: `added latency p${percentile}`,
    value: computeAdded('node'),
    unit: 'ms',
    baseline: computeAdded('passThrough'),
  };
  return percentile === 99
    ? {
        ...draft,
        target: `at most ${MAX_P99_RATIO} times the pass-through's`,
        holds: (_value, ratio) => ratio !== null && ratio <= MAX_P99_RATIO,
      }
    : draft;
}

const forward: Bench = {
  name: 'forward',
  summary: 'throughput and added latency of one entry VM against a plain pass-through',
  async run(seed) {
    await buildPackages();
    const target = await startProcess('target');
    const passThrough = await startProcess('passThrough', [target.address]);
    const node = await startProcess('node', [target.address]);
    const clients = {
      direct: new LoadClient(target.address, new Random(seed)),
      passThrough: new LoadClient(passThrough.address, new Random(seed)),
      node: new LoadClient(node.address, new Random(seed)),
    };
    try {
      for (const way of WAYS) {
        await runClosedLoop(clients[way], CALLERS, WARM_UP_MS);
      }
      const rates = await measureThroughput(clients);
      const rate = Math.floor(rates.passThrough * OPEN_LOOP_SHARE);
      const latencies = await measureLatency(clients, rate);
      return [
        {
          figure: 'throughput against pass-through',
          value: rates.node,
          unit: 'requests/s',
          baseline: rates.passThrough,
          target: `at least ${MIN_THROUGHPUT_RATIO} of the pass-through's`,
          holds: (_value, ratio) => ratio !== null && ratio >= MIN_THROUGHPUT_RATIO,
        },
        {
          figure: 'throughput against direct calls',
          value: rates.node,
          unit: 'requests/s',
          baseline: rates.direct,
        },
        { figure: 'open-loop rate', value: rate, unit: 'requests/s' },
        buildAdded(latencies, 50),
        buildAdded(latencies, 99),
      ];
    } finally {
      await Promise.all(WAYS.map((way) => clients[way].close()));
      [target, passThrough, node].forEach(({ child }) => child.kill());
    }
  },
};

export default forward;
