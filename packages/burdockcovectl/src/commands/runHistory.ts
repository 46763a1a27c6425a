/**
 * The `history` command: operators' changes and the system's own decisions, by time.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import readAuditTrail from '@burdockcove/control/audit/readAuditTrail';
import type AuditRecord from '@burdockcove/types/AuditRecord';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import toReadFailure from '../errors/toReadFailure.js';
import findRevisionSince from '../store/findRevisionSince.js';
import type OperatorChange from '../store/OperatorChange.js';
import readChangesBetween from '../store/readChangesBetween.js';
import readCurrent from '../store/readCurrent.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';
import formatRecord from './formatRecord.js';
import type HistoryRequest from './HistoryRequest.js';

const REVISIONS_READ = 200;
const BEFORE_MS = 15 * 60_000;
const AFTER_MS = 2 * 60_000;

/** Changes of the wanted span, found by time; without one, the newest. */
async function readWantedChanges(
  { store }: CommandContext,
  { sinceMs, atMs }: HistoryRequest,
  revision: number,
): Promise<Either<CtlFailure, readonly OperatorChange[]>> {
  const startMs = atMs === undefined ? sinceMs : atMs - BEFORE_MS;
  if (startMs === undefined) {
    return readChangesBetween(store, revision - REVISIONS_READ, revision);
  }
  const first = await findRevisionSince(store, startMs, revision);
  return isLeft(first)
    ? first
    : readChangesBetween(
        store,
        first.right - 1,
        Math.min(revision, first.right + REVISIONS_READ - 1),
      );
}

function isWanted(record: AuditRecord, { sinceMs, atMs, changeId }: HistoryRequest): boolean {
  const ms = Date.parse(record.at);
  const isSince = sinceMs === undefined || ms >= sinceMs;
  const isAround = atMs === undefined || (ms >= atMs - BEFORE_MS && ms <= atMs + AFTER_MS);
  const isNamed =
    changeId === undefined || (record._tag === 'OperatorChange' && record.changeId === changeId);
  return isSince && isAround && isNamed;
}

function compareTimes(earlier: AuditRecord, later: AuditRecord): number {
  return Date.parse(earlier.at) - Date.parse(later.at);
}

/** Oldest first, the newest `limit` of those wanted. */
export default async function runHistory(
  context: CommandContext,
  request: HistoryRequest,
): Promise<Either<CtlFailure, CommandResult>> {
  const current = await readCurrent(context.store);
  if (isLeft(current)) {
    return current;
  }
  const { revision } = current.right;
  const changes = await readWantedChanges(context, request, revision);
  if (isLeft(changes)) {
    return changes;
  }
  const decisions = await readAuditTrail(context.store)();
  if (isLeft(decisions)) {
    return left(toReadFailure(decisions.left));
  }
  const records = [...changes.right, ...decisions.right]
    .filter((record) => isWanted(record, request))
    .sort(compareTimes)
    .slice(-request.limit);
  if (request.changeId !== undefined && records.length === 0) {
    const detail =
      `no change ${request.changeId} among the last ${REVISIONS_READ} revisions; ` +
      `revision ${revision} is in force`;
    return left(createFailure('Refused', 'history', detail));
  }
  return right({ data: { revision, records }, lines: records.flatMap(formatRecord) });
}
