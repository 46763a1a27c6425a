/**
 * Entry VMs that use burdockcove's chooser.
 */
import { Registry } from 'prom-client';
import TokenRetryBudget from '@burdockcove/forward/admission/TokenRetryBudget';
import buildTargetChooser from '@burdockcove/forward/choice/buildTargetChooser';
import LoadPoller from '@burdockcove/forward/health/LoadPoller';
import type Clock from '@burdockcove/runtime/Clock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type Service from '@burdockcove/types/Service';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import ChooserSender from './ChooserSender.js';
import LaggingReports from './LaggingReports.js';
import type Sender from './Sender.js';
import type SimulatedTarget from './SimulatedTarget.js';

interface ChooserOptions {
  readonly clock: Clock;
  readonly seed: number;
  readonly service: Service;
  readonly regions: readonly RegionCandidates[];
  readonly targets: ReadonlyMap<string, SimulatedTarget>;
  /** One for each entry VM. */
  readonly ledgers: readonly SlotLedger[];
  readonly signal: AbortSignal;
}

const UNLIMITED_LINK = {
  reserveBytes: () => true,
  settleBytes: () => undefined,
  estimateWaitMs: () => 0,
};

/** Every part of the choice is the real one; targets, their reports and the network are fakes. */
export default function buildChooserSenders(options: ChooserOptions): readonly Sender[] {
  const { clock, seed, service, regions, targets, signal } = options;
  const logger = new Logger('silent', 'json');
  return options.ledgers.map((ledger, index) => {
    const random = new Random(seed + index);
    const registry = new Registry();
    const reports = new LaggingReports(random, targets);
    const poller = new LoadPoller(clock, random, logger, reports, registry);
    poller.run(signal).catch((error: unknown) => {
      throw error;
    });
    const chooser = buildTargetChooser({
      clock,
      random,
      logger,
      registry,
      ledger,
      link: UNLIMITED_LINK,
      leaving: { isLeaving: () => false },
      loads: poller,
      selfRegion: regions[0]?.region ?? '',
    });
    const budget = new TokenRetryBudget(registry);
    return new ChooserSender(index, service, regions, targets, chooser, budget);
  });
}
