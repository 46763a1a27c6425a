/**
 * A configuration source whose configuration is set programmatically.
 */
import { fromNullable, type Option } from 'fp-ts/lib/Option.js';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';

/** For tests, benchmarks, and a single entry VM without a store. */
export default class FixedConfigurationSource implements ConfigurationSource {
  private readonly listeners = new Set<(accepted: AcceptedConfiguration) => void>();

  constructor(private accepted?: AcceptedConfiguration) {}

  getCurrent(): Option<AcceptedConfiguration> {
    return fromNullable(this.accepted);
  }

  subscribe(listener: (accepted: AcceptedConfiguration) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Puts a newer configuration in force and notifies the listeners. */
  setAccepted(accepted: AcceptedConfiguration): void {
    this.accepted = accepted;
    this.listeners.forEach((listener) => listener(accepted));
  }
}
