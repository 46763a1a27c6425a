/**
 * One entry VM's request path, in a process of its own.
 */
import { left, right } from 'fp-ts/lib/Either.js';
import { some } from 'fp-ts/lib/Option.js';
import { Registry } from 'prom-client';
import CallerHandler from '@burdockcove/forward/door/CallerHandler';
import CallerServer from '@burdockcove/forward/door/CallerServer';
import StopState from '@burdockcove/forward/drain/StopState';
import AttemptRunner from '@burdockcove/forward/exchange/AttemptRunner';
import ConnectionPools from '@burdockcove/forward/exchange/ConnectionPools';
import Forwarder from '@burdockcove/forward/exchange/Forwarder';
import PermitKeeper from '@burdockcove/forward/exchange/PermitKeeper';
import SilenceWatch from '@burdockcove/forward/exchange/SilenceWatch';
import ForwardMetrics from '@burdockcove/forward/ForwardMetrics';
import type TargetChooser from '@burdockcove/forward/TargetChooser';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import SystemClock from '@burdockcove/runtime/SystemClock';
import HttpTargetProtocol from '@burdockcove/targets/HttpTargetProtocol';
import type Service from '@burdockcove/types/Service';
import type Steering from '@burdockcove/types/Steering';
import type Target from '@burdockcove/types/Target';

const CONNECTIONS = 64;

const service: Service = {
  name: 'desk',
  match: [],
  objective: 'latency',
  billed: true,
  operations: [],
  deadlineMs: 5000,
  maxRequestsPerVm: 1000,
  maxQueuePerVm: 1000,
  retryBudget: 0.1,
  connectionsPerTarget: CONNECTIONS,
  expectedAnswerBytes: 1024,
};
const target: Target = {
  name: 'desk-1',
  service: 'desk',
  address: process.argv[2] as string,
  failureDomain: 'bdg-a',
  slots: CONNECTIONS,
  labels: {},
};
const plan = { selector: '', clientRegion: '', routeIndex: 0, regions: [] };
const steering: Steering = {
  revision: 1,
  findService: () => some(service),
  getSemantics: (_service, method) => (method === 'GET' ? 'repeatable' : 'at-most-once'),
  planRoute: () => plan,
};
const permit = { target: target.name, release: () => undefined };
const choice = { target, region: '', permit, reportResult: () => undefined };
const chooser: TargetChooser = { chooseTarget: () => Promise.resolve(right(choice)) };

const clock = new SystemClock();
const logger = new Logger('warn', 'json');
const metrics = new ForwardMetrics(new Registry());
const pools = new ConnectionPools(clock, metrics);
const runner = new AttemptRunner(
  { silenceWatch: new SilenceWatch(clock), protocol: new HttpTargetProtocol(), clock, metrics },
  pools,
  () => 1,
);
const forwarder = new Forwarder({
  chooser,
  runner,
  budget: { recordFirstAttempt: () => undefined, tryRetry: () => false },
  permits: new PermitKeeper(clock),
  clock,
  random: new Random(1),
  logger,
  metrics,
});
const entries = {
  listEntries: () =>
    left({
      _tag: 'NotRun',
      reason: 'unknown-service',
      step: 'look-up',
      peer: '',
      detail: '',
    } as const),
};
const handler = new CallerHandler(
  { getSteering: () => some(steering) },
  entries,
  forwarder,
  new StopState(),
  clock,
  metrics,
);
const server = new CallerServer('127.0.8.3', 0, handler, logger, metrics);
await server.listen();
process.send?.(server.getAddress());
process.on('disconnect', () => process.exit(0));
