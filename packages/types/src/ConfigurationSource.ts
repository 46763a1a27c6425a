/**
 * The configuration in force at this entry VM.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type AcceptedConfiguration from './AcceptedConfiguration.js';

/** Revisions handed out never go back. */
interface ConfigurationSource {
  /** The configuration in force, or none before the first one arrived. */
  getCurrent(): Option<AcceptedConfiguration>;
  /** Calls the listener with each newer configuration; returns the way to stop. */
  subscribe(listener: (accepted: AcceptedConfiguration) => void): () => void;
}

export default ConfigurationSource;
