/**
 * The `trace` command: what the logs of entry VMs say of one request.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import describeRequest from '../trace/describeRequest.js';
import mergeLogs from '../trace/mergeLogs.js';
import parseLogLine from '../trace/parseLogLine.js';
import type CommandResult from './CommandResult.js';

/** `logs` are the texts of whole log files; refused where none of them names the request. */
export default function runTrace(
  requestId: string,
  logs: readonly string[],
): Either<CtlFailure, CommandResult> {
  const found = logs.map((text) =>
    text
      .split('\n')
      .filter((line) => line.includes(requestId))
      .flatMap((line) => parseLogLine(line) ?? [])
      .filter((record) => record.requestId === requestId),
  );
  const records = mergeLogs(found);
  if (records.length === 0) {
    const detail = `no line names request ${requestId}: the logs may be another VM's or another time's, or the line was left out under load (see leftOut on the next line of its kind)`;
    return left(createFailure('Refused', 'trace', detail));
  }
  const sentences = records.filter(({ outcome }) => outcome !== undefined).map(describeRequest);
  const lines = records.map((record) => JSON.stringify(record));
  return right({ data: { requestId, records, sentences }, lines: [...sentences, ...lines] });
}
