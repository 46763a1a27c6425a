/**
 * Creates the target chooser and the objects that it consists of.
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
import QueueDispatcher from './QueueDispatcher.js';
import RegionUtilization from './RegionUtilization.js';
import SlotTargetChooser from './SlotTargetChooser.js';
import SpreadSlotRequester from './SpreadSlotRequester.js';
import TargetEvaluator from './TargetEvaluator.js';
import TargetPicker from './TargetPicker.js';
import EvaluationRecorder from './EvaluationRecorder.js';

/** Dependencies provided by the rest of the process. */
interface ChooserDependencies {
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

/** Called once in each process; the chooser keeps all its statistics of targets in memory. */
export default function buildTargetChooser(dependencies: ChooserDependencies): SlotTargetChooser {
  const { clock, random, ledger, link, leaving, loads, selfRegion } = dependencies;
  const metrics = new ChoiceMetrics(dependencies.registry);
  const targetStates = new TargetStateRegistry(clock, random);
  const recorder = new EvaluationRecorder(dependencies.logger, dependencies.registry);
  const evaluator = new TargetEvaluator(
    clock,
    targetStates,
    ledger,
    leaving,
    loads,
    new RegionUtilization(),
    recorder,
  );
  const picker = new TargetPicker(clock, random, ledger, link, selfRegion);
  const slotRequester = new SpreadSlotRequester(clock, ledger);
  const dispatcher = new QueueDispatcher(
    clock,
    link,
    evaluator,
    picker,
    slotRequester,
    metrics,
    dependencies.logger,
    selfRegion,
  );
  return new SlotTargetChooser(clock, ledger, evaluator, dispatcher, metrics);
}
