/**
 * What happened to a request, in a sentence.
 */
import type LogRecord from './LogRecord.js';

const MEANINGS: Readonly<Record<string, string>> = {
  answered: 'the caller got the target’s answer',
  'not-run': 'the caller was told that it was not run, which is proven',
  unknown: 'the caller was told that its outcome is unknown, since a target may have run it',
  cut: 'the answer was cut off, so that the caller cannot take a part for the whole',
  'caller-gone': 'the caller went away before the answer',
};

function describeAttempts({ attempts = [] }: LogRecord): string {
  if (attempts.length === 0) {
    return 'it was sent to no target';
  }
  const told = attempts.map(
    ({ target, address, ended, status, latencyMs }) =>
      `${target} (${address}) ${ended}${status > 0 ? ` with ${status}` : ''} after ${latencyMs} ms`,
  );
  return `it was sent to ${told.join(', then to ')}`;
}

/** Made from the line that tells the outcome. */
export default function describeRequest(record: LogRecord): string {
  const { requestId, service, semantics, outcome = '', durationMs, step, detail } = record;
  const meaning = MEANINGS[outcome] ?? outcome;
  const cause = detail ? ` Cause, at the step '${step}': ${detail}.` : '';
  // A request that was refused by its key has no service in its line.
  const of = service === undefined ? '' : ` of ${service} (${semantics})`;
  return `Request ${requestId}${of}: ${describeAttempts(record)}; after ${durationMs} ms ${meaning}.${cause}`;
}
