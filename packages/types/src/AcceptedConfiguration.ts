/**
 * A configuration whose compare-and-swap succeeded, with the change that made it.
 */
import type Configuration from './Configuration.js';

/** The value kept in the store; `revision` grows by one with each change and never goes back. */
interface AcceptedConfiguration {
  /** Version of this envelope. */
  readonly version: 1;
  readonly revision: number;
  /** Unique to one attempt of one operator; found again by reading back after a lost answer. */
  readonly changeId: string;
  readonly operator: string;
  readonly reason: string;
  readonly baseRevision: number;
  /** Wall clock of the operator's tool, ISO 8601. */
  readonly acceptedAt: string;
  readonly configuration: Configuration;
}

export default AcceptedConfiguration;
