/**
 * Leaving: targets that drain, and the planned stop of an entry VM.
 */
import { setTimeout as wait } from 'node:timers/promises';
import PlannedStop from '@burdockcove/forward/drain/PlannedStop';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import SystemClock from '@burdockcove/runtime/SystemClock';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import buildConfiguration from './entryNode/buildConfiguration.js';
import sendSteadily from './entryNode/sendSteadily.js';
import startNode from './entryNode/startNode.js';
import WorkTarget from './entryNode/WorkTarget.js';

const SLOTS = 16;
const WORK_MS = 50;
const DEADLINE_MS = 1000;
const RATE_PER_SECOND = 150;
const DURATION_MS = 5000;
const LEAVE_AFTER_MS = 1500;
const MAX_DRAIN_MS = 2000;
const STOP_LIMIT_MS = 10_000;
const MAX_AGE_MS = 1000;

async function startAll(ip: string, seed: number) {
  const targets = [new WorkTarget(ip, SLOTS, WORK_MS), new WorkTarget(ip, SLOTS, WORK_MS)];
  const addresses = await Promise.all(targets.map((target) => target.start()));
  const options = { addresses, slots: SLOTS, deadlineMs: DEADLINE_MS };
  const node = await startNode(ip, buildConfiguration(options), seed);
  const close = async (): Promise<void> => {
    await node.close();
    targets.forEach((target) => target.close());
  };
  return { targets, options, node, close };
}

/** Milliseconds until the last new request to the target that leaves, and requests not answered. */
async function measureLeaving(way: 'label' | 'own word', seed: number) {
  const { targets, options, node, close } = await startAll('127.0.8.31', seed);
  const [leaving] = targets as [WorkTarget, WorkTarget];
  const sending = sendSteadily(node.server.getAddress(), new Random(seed), {
    ratePerSecond: RATE_PER_SECOND,
    durationMs: DURATION_MS,
    drawPatienceMs: () => undefined,
  });
  await wait(LEAVE_AFTER_MS);
  const leftAtMs = performance.now();
  if (way === 'own word') {
    leaving.draining = true;
  } else {
    node.source.setAccepted(buildConfiguration({ ...options, revision: 2, leaving: ['desk-1'] }));
  }
  const sent = await sending;
  await close();
  const lastMs = Math.max(0, leaving.getLastStartMs() - leftAtMs);
  return { lastMs, cut: sent.filter(({ isAnswered }) => !isAnswered).length };
}

/** Requests that got no answer from a node that stopped while they came. */
async function measureStop(seed: number) {
  const { node, close } = await startAll('127.0.8.32', seed);
  const sending = sendSteadily(node.server.getAddress(), new Random(seed), {
    ratePerSecond: RATE_PER_SECOND,
    durationMs: DURATION_MS,
    drawPatienceMs: () => undefined,
  });
  await wait(LEAVE_AFTER_MS);
  const times = {
    maxAgeMs: MAX_AGE_MS,
    longestDeadlineMs: DEADLINE_MS,
    stopLimitMs: STOP_LIMIT_MS,
  };
  const logger = new Logger('silent', 'json');
  const startedMs = performance.now();
  await new PlannedStop(node.stopState, node.server, new SystemClock(), logger, () => times).run();
  const stopMs = performance.now() - startedMs;
  await close();
  const sent = await sending;
  return { stopMs, cut: sent.filter(({ isAnswered }) => !isAnswered).length };
}

function buildDrain(way: string, { lastMs, cut }: { lastMs: number; cut: number }): FigureDraft[] {
  const drain = `last new request after leaving by ${way}`;
  return [
    {
      figure: drain,
      value: lastMs,
      unit: 'ms',
      target: `under ${MAX_DRAIN_MS} ms`,
      holds: (value) => value < MAX_DRAIN_MS,
    },
    {
      figure: `requests without an answer, by ${way}`,
      value: cut,
      unit: 'requests',
      target: '0',
      holds: (value) => value === 0,
    },
  ];
}

const drain: Bench = {
  name: 'drain',
  summary: 'time until a leaving target gets no new work, and requests cut by planned stops',
  async run(seed) {
    const label = await measureLeaving('label', seed);
    const ownWord = await measureLeaving('own word', seed);
    const stop = await measureStop(seed);
    return [
      ...buildDrain('label', label),
      ...buildDrain('own word', ownWord),
      {
        figure: "requests cut by the node's own stop",
        value: stop.cut,
        unit: 'requests',
        target: '0',
        holds: (value) => value === 0,
      },
      { figure: 'time that the stop took', value: stop.stopMs, unit: 'ms' },
    ];
  },
};

export default drain;
