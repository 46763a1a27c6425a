/**
 * Work done at targets for callers that had left.
 */
import Random from '@burdockcove/runtime/Random';
import type Bench from '../Bench.js';
import buildConfiguration from './entryNode/buildConfiguration.js';
import PassThrough from './entryNode/PassThrough.js';
import sendSteadily from './entryNode/sendSteadily.js';
import startNode from './entryNode/startNode.js';
import WorkTarget from './entryNode/WorkTarget.js';

const SLOTS = 64;
const WORK_MS = 200;
const DEADLINE_MS = 2000;
const RATE_PER_SECOND = 100;
const DURATION_MS = 5000;
/** Share of callers that leave before the work is done. */
const LEAVING_SHARE = 0.5;
const PATIENCE_MS = 50;

type Way = 'node' | 'passThrough';

async function startWay(way: Way, address: string, seed: number) {
  if (way === 'node') {
    const options = { addresses: [address], slots: SLOTS, deadlineMs: DEADLINE_MS };
    const node = await startNode('127.0.8.22', buildConfiguration(options), seed);
    return { address: node.server.getAddress(), close: () => node.close() };
  }
  const passThrough = new PassThrough('127.0.8.23', [address]);
  return { address: await passThrough.start(), close: () => passThrough.close() };
}

/** Milliseconds of work after the callers had left, for each caller that left. */
async function measureWaste(way: Way, seed: number): Promise<number> {
  const target = new WorkTarget('127.0.8.21', SLOTS, WORK_MS);
  const started = await startWay(way, await target.start(), seed);
  const random = new Random(seed);
  const sent = await sendSteadily(started.address, new Random(seed), {
    ratePerSecond: RATE_PER_SECOND,
    durationMs: DURATION_MS,
    drawPatienceMs: () => (random.nextFloat() < LEAVING_SHARE ? PATIENCE_MS : undefined),
  });
  const left = sent.filter(({ isAnswered }) => !isAnswered);
  const leftAtMs = new Map(left.map(({ id, dueMs, tookMs }) => [id, dueMs + tookMs]));
  const wastedMs = target.works
    .filter(({ id }) => leftAtMs.has(id))
    .reduce((sum, { id, endMs }) => sum + Math.max(0, endMs - (leftAtMs.get(id) ?? 0)), 0);
  await started.close();
  target.close();
  return wastedMs / Math.max(1, left.length);
}

const deadline: Bench = {
  name: 'deadline',
  summary: 'work done at targets for callers that had left, against a plain pass-through',
  async run(seed) {
    const baseline = await measureWaste('passThrough', seed);
    const value = await measureWaste('node', seed);
    return [
      { figure: 'work after the caller left, per caller that left', value, unit: 'ms', baseline },
    ];
  },
};

export default deadline;
