/**
 * What a simulation is made of.
 */
import type Configuration from '@burdockcove/types/Configuration';
import type EntryVm from '@burdockcove/types/EntryVm';
import type LendingPolicy from '@burdockcove/shares/LendingPolicy';
import type ShareTiming from '@burdockcove/shares/ShareTiming';
import type StepEvaluator from '@burdockcove/shares/shift/StepEvaluator';
import type VirtualNode from './VirtualNode.js';

/** The same options and seed give the same run. */
interface FleetOptions {
  readonly seed: number;
  readonly configuration: Configuration;
  readonly vms: readonly EntryVm[];
  readonly timing: ShareTiming;
  readonly policy: LendingPolicy;
  readonly evidence: StepEvaluator;
  /** One-way delay between any two ends, in milliseconds. */
  readonly delayMs: readonly [number, number];
  /** Share of the messages lost, 0 to 1. */
  readonly lossShare: number;
  /** Lag of the replicas behind the store, in milliseconds. */
  readonly replicaLagMs: number;
  /** Lag of the VM list, in milliseconds. */
  readonly listLagMs: number;
  /** Requests that reach the entry VM, a second. */
  readonly getRate: (vm: EntryVm, nowMs: number) => number;
  /** Targets that the entry VM's requests may use, preferred first. */
  readonly listTargets: (vm: EntryVm) => readonly string[];
  /** Mean time that a target takes, in milliseconds. */
  readonly serviceMs: number;
  /** Share of the requests whose end the entry VM does not see, 0 to 1. */
  readonly uncleanShare: number;
  /** Requests that wait at one entry VM at most. */
  readonly queueLimit: number;
  /** Called with each process before it starts; breaks a rule in tests that show that the checker can fail. */
  readonly prepareNode?: (node: VirtualNode) => void;
}

export default FleetOptions;
