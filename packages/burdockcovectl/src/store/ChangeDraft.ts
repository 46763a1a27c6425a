/**
 * A change that an operator wants to make.
 */
import type Configuration from '@burdockcove/types/Configuration';

/** Nothing of it is stored yet. */
interface ChangeDraft {
  readonly operator: string;
  readonly reason: string;
  /** Unique to one attempt of one operator. */
  readonly changeId: string;
  readonly configuration: Configuration;
  /** Wall clock, ISO 8601. */
  readonly at: string;
}

export default ChangeDraft;
