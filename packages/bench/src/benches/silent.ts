/**
 * Open connections that go silent while new ones work.
 */
import { setTimeout as wait } from 'node:timers/promises';
import type { Registry } from 'prom-client';
import Random from '@burdockcove/runtime/Random';
import SystemClock from '@burdockcove/runtime/SystemClock';
import TargetStandIn from '@burdockcove/standins/target/TargetStandIn';
import type Bench from '../Bench.js';
import buildConfiguration from './entryNode/buildConfiguration.js';
import PassThrough from './entryNode/PassThrough.js';
import sendSteadily from './entryNode/sendSteadily.js';
import startNode from './entryNode/startNode.js';

const TARGETS = 2;
const SLOTS = 8;
const SERVICE_MS = 20;
const DEADLINE_MS = 2000;
const RATE_PER_SECOND = 200;
const DURATION_MS = 6000;
const SILENT_AFTER_MS = 2000;
/** A request that takes longer than this was harmed, whatever it was told. */
const HARMED_AFTER_MS = 1000;
/** Ten times the usual time: a request that takes longer met a silent connection. */
const DELAYED_AFTER_MS = 200;

const POLL_MS = 10;

type Way = 'node' | 'passThrough';

interface Harm {
  readonly connections: number;
  readonly harmed: number;
  readonly delayed: number;
  /** Time from the silence until the first silent connection was found; NaN where none ever was. */
  readonly detectionMs: number;
}

async function startTargets(seed: number): Promise<readonly TargetStandIn[]> {
  const clock = new SystemClock();
  const options = { ip: '127.0.8.11', port: 0, slots: 64, maxConnections: 400, answerBytes: 1024 };
  const pace = { serviceMs: SERVICE_MS, coldMs: 0, coldFactor: 1 };
  const targets = Array.from(
    { length: TARGETS },
    (_, i) =>
      new TargetStandIn({ name: `desk-${i + 1}`, seed: seed + i, ...options, ...pace }, clock),
  );
  await Promise.all(targets.map((target) => target.start()));
  return targets;
}

async function countFound(registry: Registry): Promise<number> {
  const text = await registry.getSingleMetricAsString('burdockcove_silent_connections_total');
  return Number(/total (\d+)/.exec(text)?.[1] ?? 0);
}

/** Milliseconds until a silent connection was found; NaN where none was in the time given. */
async function measureDetection(find: () => Promise<number>, limitMs: number): Promise<number> {
  const startedMs = performance.now();
  while (performance.now() - startedMs < limitMs) {
    if ((await find()) > 0) {
      return performance.now() - startedMs;
    }
    await wait(POLL_MS);
  }
  return NaN;
}

async function startWay(way: Way, addresses: readonly string[], seed: number) {
  if (way === 'node') {
    const accepted = buildConfiguration({ addresses, slots: SLOTS, deadlineMs: DEADLINE_MS });
    const node = await startNode('127.0.8.12', accepted, seed);
    return {
      address: node.server.getAddress(),
      close: () => node.close(),
      countFound: () => countFound(node.registry),
    };
  }
  const passThrough = new PassThrough('127.0.8.13', addresses);
  return {
    address: await passThrough.start(),
    close: () => passThrough.close(),
    countFound: () => Promise.resolve(0),
  };
}

async function measureHarm(way: Way, seed: number): Promise<Harm> {
  const targets = await startTargets(seed);
  const started = await startWay(
    way,
    targets.map((target) => target.getAddress()),
    seed,
  );
  const startedMs = performance.now();
  const sending = sendSteadily(started.address, new Random(seed), {
    ratePerSecond: RATE_PER_SECOND,
    durationMs: DURATION_MS,
    drawPatienceMs: () => DEADLINE_MS,
  });
  await wait(SILENT_AFTER_MS);
  const connections = targets[0]?.countConnections() ?? 0;
  targets[0]?.silenceOpenConnections();
  const silentAtMs = startedMs + SILENT_AFTER_MS;
  const detectionMs = await measureDetection(started.countFound, DURATION_MS - SILENT_AFTER_MS);
  const sent = await sending;
  const harmed = sent.filter(({ isAnswered, tookMs }) => !isAnswered || tookMs > HARMED_AFTER_MS);
  const delayed = sent.filter(
    ({ isAnswered, tookMs, dueMs }) =>
      dueMs + tookMs > silentAtMs && (!isAnswered || tookMs > DELAYED_AFTER_MS),
  );
  await started.close();
  await Promise.all(targets.map((target) => target.crash()));
  return {
    connections,
    harmed: harmed.length,
    delayed: delayed.length,
    detectionMs,
  };
}

const silent: Bench = {
  name: 'silent',
  summary: 'requests harmed by connections that go silent, against a plain pass-through',
  async run(seed) {
    const passThrough = await measureHarm('passThrough', seed);
    const node = await measureHarm('node', seed);
    const computePerConnection = (harm: Harm): number =>
      harm.harmed / Math.max(1, harm.connections);
    return [
      {
        figure: 'connections that went silent',
        value: node.connections,
        unit: 'connections',
        baseline: passThrough.connections,
      },
      {
        figure: 'requests harmed',
        value: node.harmed,
        unit: 'requests',
        baseline: passThrough.harmed,
      },
      {
        figure: 'requests harmed per silent connection',
        value: computePerConnection(node),
        unit: 'requests',
        baseline: computePerConnection(passThrough),
      },
      {
        figure: 'requests delayed or harmed',
        value: node.delayed,
        unit: 'requests',
        baseline: passThrough.delayed,
      },
      {
        figure: 'time to detection (the pass-through never detects)',
        value: node.detectionMs,
        unit: 'ms',
      },
    ];
  },
};

export default silent;
