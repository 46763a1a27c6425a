/**
 * Assembly of the chooser and its parts.
 */
import type { Registry } from 'prom-client';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import type LinkBudget from '@burdockcove/types/LinkBudget';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type LeavingTargets from '../health/LeavingTargets.js';
import type LoadSource from '../health/LoadSource.js';
import TargetStateRegistry from '../health/TargetStateRegistry.js';
import ChoiceMetrics from './ChoiceMetrics.js';
import QueueServer from './QueueServer.js';
import RegionUse from './RegionUse.js';
import SlotTargetChooser from './SlotTargetChooser.js';
import SpreadDemand from './SpreadDemand.js';
import TargetJudge from './TargetJudge.js';
import TargetPicker from './TargetPicker.js';
import VerdictLog from './VerdictLog.js';

/** What the rest of the process provides. */
interface ChooserParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly registry: Registry;
  readonly ledger: SlotLedger;
  readonly link: LinkBudget;
  readonly leaving: LeavingTargets;
  readonly loads: LoadSource;
  /** Region of this entry VM. */
  readonly selfRegion: string;
}

/** One chooser for each process; it keeps all evidence in memory. */
export default function buildTargetChooser(parts: ChooserParts): SlotTargetChooser {
  const { clock, random, ledger, link, leaving, loads, selfRegion } = parts;
  const metrics = new ChoiceMetrics(parts.registry);
  const book = new TargetStateRegistry(clock, random);
  const log = new VerdictLog(parts.logger, parts.registry);
  const judge = new TargetJudge(clock, book, ledger, leaving, loads, new RegionUse(), log);
  const picker = new TargetPicker(clock, random, ledger, link, selfRegion);
  const spread = new SpreadDemand(clock, ledger);
  const server = new QueueServer(
    clock,
    link,
    judge,
    picker,
    spread,
    metrics,
    parts.logger,
    selfRegion,
  );
  return new SlotTargetChooser(clock, ledger, judge, server, metrics);
}
