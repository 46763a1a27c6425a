/**
 * The transaction that stores a change.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import encodeStoredConfiguration from '@burdockcove/configuration/stored/encodeStoredConfiguration';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import buildInitialShift from '@burdockcove/shares/shift/buildInitialShift';
import getShiftKey from '@burdockcove/shares/shift/getShiftKey';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type Selector from '@burdockcove/types/Selector';
import formatChange from '../changes/formatChange.js';
import listChanges from '../changes/listChanges.js';
import type ChangeDraft from './ChangeDraft.js';
import CONFIGURATION_KEY from './CONFIGURATION_KEY.js';
import type CurrentConfiguration from './CurrentConfiguration.js';
import getHistoryKey from './getHistoryKey.js';
import type OperatorChange from './OperatorChange.js';

/** Revisions whose change records are kept. */
const KEPT_REVISIONS = 10_000;

function buildAccepted(current: CurrentConfiguration, draft: ChangeDraft): AcceptedConfiguration {
  const { operator, reason, changeId, configuration, at } = draft;
  return {
    version: 1,
    revision: current.revision + 1,
    changeId,
    operator,
    reason,
    baseRevision: current.revision,
    acceptedAt: at,
    configuration,
  };
}

function buildRecord(accepted: AcceptedConfiguration, changes: readonly string[]): string {
  const { operator, reason, changeId, baseRevision, revision, acceptedAt } = accepted;
  const record: OperatorChange = {
    _tag: 'OperatorChange',
    at: acceptedAt,
    operator,
    reason,
    changeId,
    baseRevision,
    revision,
    changes,
  };
  return JSON.stringify({ version: 1, ...record });
}

/** A selector that the configuration did not have and the shift record found at its name, if any. */
interface NewSelector {
  readonly selector: Selector;
  readonly entry?: StoreEntry;
}

/**
 * Holds only while the configuration is the one that was read. Writes the configuration, its change
 * record, and for each new selector the record that says that its weights are in force.
 */
export default function buildChangeTransaction(
  current: CurrentConfiguration,
  draft: ChangeDraft,
  newSelectors: readonly NewSelector[],
): StoreTransaction {
  const accepted = buildAccepted(current, draft);
  const { revision } = accepted;
  const stored = isSome(current.stored) ? current.stored.value : undefined;
  const changes = listChanges(stored?.accepted.configuration, draft.configuration);
  return {
    compares: [
      { key: CONFIGURATION_KEY, revision: current.storeRevision },
      ...newSelectors.map(({ selector, entry }) => ({
        key: getShiftKey(selector.name),
        revision: entry?.revision ?? 0,
      })),
    ],
    puts: [
      { key: CONFIGURATION_KEY, value: encodeStoredConfiguration(accepted, stored?.raw) },
      { key: getHistoryKey(revision), value: buildRecord(accepted, changes.map(formatChange)) },
      ...newSelectors.map(({ selector }) => ({
        key: getShiftKey(selector.name),
        value: JSON.stringify(buildInitialShift(selector, revision, draft.at)),
      })),
    ],
    deletes: revision > KEPT_REVISIONS ? [getHistoryKey(revision - KEPT_REVISIONS)] : [],
  };
}
