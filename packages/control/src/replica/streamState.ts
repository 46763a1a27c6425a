/**
 * The serving side of a follower's stream.
 */
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StateDelta from './StateDelta.js';
import type StateTable from './StateTable.js';
import buildDelta from './buildDelta.js';

/** Longest delta in one message, in bytes of values beyond its first revision. */
const MAX_DELTA_BYTES = 1_000_000;
/** Time between messages while nothing changes, in milliseconds. */
const HEARTBEAT_MS = 2_000;

/** Yields what is newer than `afterRevision`, then changes as they come, or an empty delta as a heartbeat. */
export default async function* streamState(
  clock: Clock,
  table: StateTable,
  afterRevision: number,
  signal: AbortSignal,
): AsyncGenerator<StateDelta> {
  const pending = new Map<string, StoreEntry>();
  let wake = new AbortController();
  signal.addEventListener('abort', () => wake.abort(), { once: true });
  const note = (entry: StoreEntry): void => {
    pending.set(entry.key, entry);
    wake.abort();
  };
  const unsubscribe = table.subscribe('', note);
  const unsubscribeProgress = table.subscribeProgress(() => wake.abort());
  let sent = afterRevision;
  table.listNewer(afterRevision, Number.MAX_SAFE_INTEGER).entries.forEach(note);
  try {
    while (!signal.aborted) {
      const complete = table.getCompleteRevision();
      const delta = buildDelta([...pending.values()], sent, complete, MAX_DELTA_BYTES);
      delta.entries.forEach(({ key }) => pending.delete(key));
      if (!delta.truncated) {
        wake = new AbortController();
      }
      yield delta;
      sent = Math.max(sent, delta.completeRevision);
      await waitFor(clock, HEARTBEAT_MS, wake.signal);
    }
  } finally {
    unsubscribe();
    unsubscribeProgress();
  }
}
