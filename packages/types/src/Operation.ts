/**
 * An operation of a service, told apart by method and path.
 */
import type OperationSemantics from './OperationSemantics.js';

/** The first operation whose method and path prefix match decides; no match means at-most-once. */
interface Operation {
  /** HTTP method, or `*` for any. */
  readonly method: string;
  readonly pathPrefix: string;
  readonly semantics: OperationSemantics;
}

export default Operation;
