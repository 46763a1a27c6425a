/**
 * The compiled steering in force at this entry VM.
 */
import { isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Random from '@burdockcove/runtime/Random';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Membership from '@burdockcove/types/Membership';
import type ShiftPositions from '@burdockcove/types/ShiftPositions';
import CompiledSteering from './CompiledSteering.js';
import ConfigurationIndex from './ConfigurationIndex.js';
import RouteSequences from './RouteSequences.js';

/** Inputs of the compiled steering. */
interface SteeringInputs {
  readonly source: ConfigurationSource;
  readonly membership: Membership;
  readonly positions: ShiftPositions;
  readonly random: Random;
}

/**
 * Rebuilds the steering for each newer configuration and each membership change; changes of weights
 * need no rebuild.
 */
export default class SteeringSource {
  private current: Option<CompiledSteering> = none;

  private readonly sequences: RouteSequences;

  private readonly listeners = new Set<() => void>();

  private readonly unsubscribers: readonly (() => void)[];

  constructor(private readonly inputs: SteeringInputs) {
    this.sequences = new RouteSequences(inputs.random);
    const accepted = inputs.source.getCurrent();
    if (isSome(accepted)) {
      this.applyConfiguration(accepted.value);
    }
    this.unsubscribers = [
      inputs.source.subscribe((newer) => this.applyConfiguration(newer)),
      inputs.membership.subscribe(() => this.applyMembershipChange()),
    ];
  }

  /** Returns the steering in force, or none before the first configuration arrives. */
  getCurrent(): Option<CompiledSteering> {
    return this.current;
  }

  /** Calls the listener after each rebuild; returns a function that unsubscribes it. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Cancels the subscriptions. */
  close(): void {
    this.unsubscribers.forEach((unsubscribe) => unsubscribe());
  }

  private applyConfiguration(accepted: AcceptedConfiguration): void {
    if (isSome(this.current) && accepted.revision <= this.current.value.revision) {
      return;
    }
    this.rebuild(new ConfigurationIndex(accepted));
  }

  private applyMembershipChange(): void {
    if (isSome(this.current)) {
      this.rebuild(this.current.value.index);
    }
  }

  private rebuild(index: ConfigurationIndex): void {
    const { membership, positions } = this.inputs;
    this.current = some(
      new CompiledSteering(index, {
        ownRegion: membership.getSelf().region,
        positions,
        sequences: this.sequences,
        isTargetLeaving: (address) => membership.isTargetLeaving(address),
      }),
    );
    this.listeners.forEach((listener) => listener());
  }
}
