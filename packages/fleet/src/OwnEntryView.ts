/**
 * This entry VM's own registration as its copy of the store's state has it.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';

/** The copy lags behind the store; it never goes back within an era. */
interface OwnEntryView {
  /** Returns the entry, perhaps of an earlier process of this VM; undefined if there is none. */
  findOwn(): StoreEntry | undefined;
  /** Whether the copy holds every change of the era until the revision. */
  hasApplied(revision: number, era: number): boolean;
}

export default OwnEntryView;
