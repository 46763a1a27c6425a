/**
 * Writes of this entry VM's registration.
 *
 * A write whose answer is lost may take effect seconds later, even after the process that requested it has ended. So each
 * write requires the revision of the entry that it replaces, or that there is none. Once a later write has succeeded, an
 * earlier one can no longer take effect, and what the store holds is bound to the lease of the process that knows of it.
 */
import { isLeft, isRight, right, type Either } from 'fp-ts/lib/Either.js';
import { isSome, none, some, toUndefined, type Option } from 'fp-ts/lib/Option.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Store from '@burdockcove/store/Store';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreError from '@burdockcove/types/StoreError';
import LEASE_MS from './LEASE_MS.js';
import type MemberRegistration from './MemberRegistration.js';
import type OwnEntryView from './OwnEntryView.js';

/** A registration that the store has acknowledged. */
interface WrittenRegistration {
  readonly revision: number;
  /**
   * Time of day since which the entry had been there until it was replaced, in Unix milliseconds; Infinity if there was
   * none.
   */
  readonly continuedFromMs: number;
}

function mayHaveTakenEffect({ _tag: kind }: StoreError): boolean {
  return kind !== 'StoreRefused' && kind !== 'StoreUnavailable';
}

/** Belongs to one process. */
export default class RegistrationWriter {
  /** Whether an entry that is found may have been written by this process. */
  private mayBeOwn = false;

  constructor(
    private readonly store: Store,
    private readonly registration: MemberRegistration,
    private readonly clock: Clock,
    private readonly view: OwnEntryView,
  ) {}

  /**
   * Writes the entry with the lease, which must not be renewed until the write has been acknowledged. Right with none if
   * the entry was changed by another write at the same time.
   */
  async write(
    leaseId: string,
    era: number,
  ): Promise<Either<StoreError, Option<WrittenRegistration>>> {
    const written = await this.commit(leaseId, era, this.view.findOwn());
    if (isLeft(written) || isSome(written.right)) {
      return written;
    }
    const current = await this.store.readKey(this.registration.key)();
    return isLeft(current) ? current : this.commit(leaseId, era, toUndefined(current.right));
  }

  /** Replaces the entry, or creates it if there is none; right with none if the store has another one. */
  private async commit(
    leaseId: string,
    era: number,
    replaced: StoreEntry | undefined,
  ): Promise<Either<StoreError, Option<WrittenRegistration>>> {
    const { key } = this.registration;
    const continuedFromMs = this.findContinuedFrom(replaced, era);
    // The write takes effect before its lease ends, if at all.
    const registeredAtMs =
      continuedFromMs === Infinity ? this.clock.getWallMs() + LEASE_MS : continuedFromMs;
    const value = this.registration.buildValue(registeredAtMs, era);
    const written = await this.store.commitTransaction({
      compares: [{ key, revision: replaced?.revision ?? 0 }],
      puts: [{ key, value, leaseId }],
      deletes: [],
    })();
    this.mayBeOwn ||= isRight(written) ? written.right.committed : mayHaveTakenEffect(written.left);
    if (isLeft(written)) {
      return written;
    }
    const { committed, revision } = written.right;
    return right(committed ? some({ revision, continuedFromMs }) : none);
  }

  /** Returns the time of day since which the entry has surely been in the store; Infinity if it is not there. */
  private findContinuedFrom(replaced: StoreEntry | undefined, era: number): number {
    if (replaced === undefined) {
      return Infinity;
    }
    const nowMs = this.clock.getWallMs();
    const sinceMs = this.mayBeOwn
      ? undefined
      : this.registration.readRegisteredAt(replaced.value, era);
    return Math.min(sinceMs ?? nowMs, nowMs);
  }
}
