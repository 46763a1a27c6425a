/**
 * Deltas from messages.
 */
import type { StateDelta as StateDeltaMessage } from '@burdockcove/protocol/gen/burdockcove/v1/distribution_pb';
import type StateDelta from './StateDelta.js';
import STATE_PREFIX from './STATE_PREFIX.js';

const EMPTY: StateDelta = { afterRevision: 0, completeRevision: 0, entries: [], truncated: true };

/** The message's delta; keys outside the shared state are passed over, an absent delta is empty. */
export default function parseDelta(message: StateDeltaMessage | undefined): StateDelta {
  if (message === undefined) {
    return EMPTY;
  }
  const entries = message.entries
    .filter(({ key, revision }) => key.startsWith(STATE_PREFIX) && revision > 0n)
    .map(({ key, value, revision }) => ({ key, value, revision: Number(revision) }));
  return {
    afterRevision: Number(message.afterRevision),
    completeRevision: Number(message.completeRevision),
    entries,
    truncated: message.truncated,
  };
}
