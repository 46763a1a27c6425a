/**
 * A change that a command wants to make.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type Configuration from '@burdockcove/types/Configuration';
import type CtlFailure from '../errors/CtlFailure.js';
import type Demand from '../limits/Demand.js';

/** Applied again on the newer configuration where another change came first and may be merged. */
interface ChangeIntent {
  readonly reason: string;
  /** Revision the change was made against; absent: the one in force when the command starts. */
  readonly baseRevision?: number;
  /** Given to find out about or finish an earlier attempt. */
  readonly changeId?: string;
  /** The one object that the change touches, so that changes of others may come between. */
  readonly onlyObject?: string;
  readonly dryRun: boolean;
  readonly demand: readonly Demand[];
  readonly build: (current: Configuration | undefined) => Either<CtlFailure, Configuration>;
}

export default ChangeIntent;
