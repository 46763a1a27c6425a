/**
 * What commands work with.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type Store from '@burdockcove/store/Store';
import type Clock from '@burdockcove/runtime/Clock';
import type CtlFailure from '../errors/CtlFailure.js';

/** Tests put doubles in place of each. */
interface CommandContext {
  readonly store: Store;
  readonly clock: Clock;
  /** Whoever runs the tool, as the audit trail names them. */
  readonly operator: string;
  /** Makes an identifier that no other attempt has. */
  readonly createId: () => string;
  /** Admin addresses of entry VMs, `IP:PORT`. */
  readonly admins: readonly string[];
  /** Fetches JSON from an entry VM's admin address. */
  readonly fetchAdmin: (address: string, path: string) => Promise<Either<CtlFailure, unknown>>;
}

export default CommandContext;
