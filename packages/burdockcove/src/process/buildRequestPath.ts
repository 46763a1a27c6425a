/**
 * Assembly of the request path.
 */
import { isNone } from 'fp-ts/lib/Option.js';
import ForwardMetrics from '@burdockcove/forward/ForwardMetrics';
import TokenRetryBudget from '@burdockcove/forward/admission/TokenRetryBudget';
import buildTargetChooser from '@burdockcove/forward/choice/buildTargetChooser';
import type SlotTargetChooser from '@burdockcove/forward/choice/SlotTargetChooser';
import CallerHandler from '@burdockcove/forward/ingress/CallerHandler';
import CallerServer from '@burdockcove/forward/ingress/CallerServer';
import StopAdmission from '@burdockcove/forward/drain/StopAdmission';
import type StopState from '@burdockcove/forward/drain/StopState';
import AttemptRunner from '@burdockcove/forward/exchange/AttemptRunner';
import ConnectionPools from '@burdockcove/forward/exchange/ConnectionPools';
import Forwarder from '@burdockcove/forward/exchange/Forwarder';
import PermitReleaser from '@burdockcove/forward/exchange/PermitReleaser';
import SilenceDetector from '@burdockcove/forward/exchange/SilenceDetector';
import ListedLeavingTargets from '@burdockcove/forward/health/ListedLeavingTargets';
import LoadPoller from '@burdockcove/forward/health/LoadPoller';
import StallMonitor from '@burdockcove/runtime/StallMonitor';
import EntriesRanker from '@burdockcove/steering/EntriesRanker';
import ALWAYS_AVAILABLE from '@burdockcove/targets/ALWAYS_AVAILABLE';
import HttpTargetProtocol from '@burdockcove/targets/HttpTargetProtocol';
import type TargetProtocol from '@burdockcove/targets/TargetProtocol';
import type OutcomeWindow from '../evidence/OutcomeWindow.js';
import type ControlParts from './ControlParts.js';
import type EntryVmParts from './EntryVmParts.js';
import RankedEntries from './RankedEntries.js';
import type RequestPath from './RequestPath.js';
import type ShareParts from './ShareParts.js';

/** Outcomes that count for or against a step of a shift; a caller that went away does not. */
const EVIDENCE = {
  answered: 'answered',
  'not-run': 'refused',
  unknown: 'failed',
  cut: 'failed',
  'caller-gone': undefined,
} as const;

function buildMetrics({ registry }: EntryVmParts, outcomes: OutcomeWindow): ForwardMetrics {
  const metrics = new ForwardMetrics(registry);
  metrics.setOutcomeListener((service, outcome) => {
    const kind = EVIDENCE[outcome];
    if (kind !== undefined) {
      outcomes.recordOutcome(service, kind);
    }
  });
  return metrics;
}

function buildForwarder(
  { clock, random, logger, registry }: EntryVmParts,
  { configuration }: ControlParts,
  chooser: SlotTargetChooser,
  protocol: TargetProtocol,
  metrics: ForwardMetrics,
  stop: StopState,
): Forwarder {
  const getMaxEntryVms = (): number => {
    const current = configuration.getCurrent();
    return isNone(current) ? 1 : current.value.configuration.maxEntryVms;
  };
  const silenceDetector = new SilenceDetector(clock);
  const pools = new ConnectionPools(clock, metrics);
  const availability = ALWAYS_AVAILABLE;
  const stopAdmission = new StopAdmission(stop, clock);
  const attempts = { silenceDetector, protocol, availability, stopAdmission, clock, metrics };
  return new Forwarder({
    chooser,
    runner: new AttemptRunner(attempts, pools, getMaxEntryVms),
    budget: new TokenRetryBudget(registry),
    permits: new PermitReleaser(clock),
    stopAdmission,
    clock,
    random,
    logger,
    metrics,
  });
}

/** Callers are served once the returned server runs under the supervisor. */
export default function buildRequestPath(
  parts: EntryVmParts,
  control: ControlParts,
  shares: ShareParts,
  stop: StopState,
  outcomes: OutcomeWindow,
): RequestPath {
  const { settings, clock, random, logger, registry } = parts;
  const { configuration, membership } = control;
  const { ledger, links, steering } = shares;
  const metrics = buildMetrics(parts, outcomes);
  const protocol = new HttpTargetProtocol();
  const loads = new LoadPoller(clock, random, logger, protocol, registry);
  const chooser = buildTargetChooser({
    clock,
    random,
    logger,
    registry,
    ledger,
    link: links,
    leaving: new ListedLeavingTargets(configuration, membership),
    loads,
    selfRegion: settings.region,
  });
  const handler = new CallerHandler(
    steering,
    new RankedEntries(new EntriesRanker(steering, membership), steering),
    buildForwarder(parts, control, chooser, protocol, metrics, stop),
    stop,
    clock,
    metrics,
  );
  const server = new CallerServer(settings.ip, settings.callerPort, handler, logger, metrics);
  const stalls = new StallMonitor(clock, logger, (ms) => metrics.recordStall(ms));
  return { server, loads, chooser, stalls };
}
