/**
 * One entry VM's request path with the real steering and choice, in a process of its own.
 */
import { left } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import StaticMembership from '@burdockcove/control/StaticMembership';
import TokenRetryBudget from '@burdockcove/forward/admission/TokenRetryBudget';
import buildTargetChooser from '@burdockcove/forward/choice/buildTargetChooser';
import CallerHandler from '@burdockcove/forward/door/CallerHandler';
import CallerServer from '@burdockcove/forward/door/CallerServer';
import StopState from '@burdockcove/forward/drain/StopState';
import AttemptRunner from '@burdockcove/forward/exchange/AttemptRunner';
import ConnectionPools from '@burdockcove/forward/exchange/ConnectionPools';
import Forwarder from '@burdockcove/forward/exchange/Forwarder';
import PermitKeeper from '@burdockcove/forward/exchange/PermitKeeper';
import SilenceWatch from '@burdockcove/forward/exchange/SilenceWatch';
import ForwardMetrics from '@burdockcove/forward/ForwardMetrics';
import ListedLeavingTargets from '@burdockcove/forward/health/ListedLeavingTargets';
import UnpolledLoads from '@burdockcove/forward/health/UnpolledLoads';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import SystemClock from '@burdockcove/runtime/SystemClock';
import FixedSlotLedger from '@burdockcove/shares/FixedSlotLedger';
import TokenLinkBudget from '@burdockcove/shares/TokenLinkBudget';
import ConfiguredPositions from '@burdockcove/steering/ConfiguredPositions';
import FixedConfigurationSource from '@burdockcove/steering/FixedConfigurationSource';
import SteeringSource from '@burdockcove/steering/SteeringSource';
import HttpTargetProtocol from '@burdockcove/targets/HttpTargetProtocol';
import buildConfiguration from './buildConfiguration.js';

const IP = '127.0.8.3';
const SEED = 1;
const SLOTS = 64;

const accepted = buildConfiguration(process.argv[2] as string, SLOTS);
const self = {
  address: `${IP}:1`,
  peerAddress: `${IP}:2`,
  region: 'jabar',
  failureDomain: 'bdg-a',
};
const clock = new SystemClock();
const random = new Random(SEED);
const logger = new Logger('warn', 'json');
const registry = new Registry();
const metrics = new ForwardMetrics(registry);
const source = new FixedConfigurationSource(accepted);
const membership = new StaticMembership(self, []);
const steering = new SteeringSource({
  source,
  membership,
  positions: new ConfiguredPositions(source),
  random,
});
const chooser = buildTargetChooser({
  clock,
  random,
  logger,
  registry,
  ledger: new FixedSlotLedger(new Map([['desk-1', SLOTS]])),
  link: new TokenLinkBudget(clock, source),
  leaving: new ListedLeavingTargets(source, membership),
  loads: new UnpolledLoads(),
  selfRegion: self.region,
});
const silenceWatch = new SilenceWatch(clock);
const protocol = new HttpTargetProtocol();
const runner = new AttemptRunner(
  { silenceWatch, protocol, clock, metrics },
  new ConnectionPools(clock, metrics),
  () => accepted.configuration.maxEntryVms,
);
const budget = new TokenRetryBudget(registry);
const permits = new PermitKeeper(clock);
const forwarder = new Forwarder({
  chooser,
  runner,
  budget,
  permits,
  clock,
  random,
  logger,
  metrics,
});
const entries = {
  listEntries: () =>
    left({ _tag: 'NotRun', reason: 'not-ready', step: 'look-up', peer: '', detail: '' } as const),
};
const handler = new CallerHandler(steering, entries, forwarder, new StopState(), clock, metrics);
const server = new CallerServer(IP, 0, handler, logger, metrics);
await server.listen();
process.send?.(server.getAddress());
process.on('disconnect', () => process.exit(0));
