/**
 * Output of a command.
 */
import { isRight, type Either } from 'fp-ts/lib/Either.js';
import type CommandResult from '../commands/CommandResult.js';
import type CtlFailure from '../errors/CtlFailure.js';
import EXIT_CODES from './EXIT_CODES.js';

/** Where output goes; `process` in the command itself. */
interface Streams {
  readonly stdout: { write(text: string): unknown };
  readonly stderr: { write(text: string): unknown };
}

/** Prints results to standard output and failures to standard error; returns the exit code. */
export default function printResult(
  result: Either<CtlFailure, CommandResult>,
  isJson: boolean,
  { stdout, stderr }: Streams,
): number {
  if (isRight(result)) {
    const { data, lines } = result.right;
    stdout.write(isJson ? `${JSON.stringify(data)}\n` : lines.map((line) => `${line}\n`).join(''));
    return EXIT_CODES.done;
  }
  const { _tag: tag, step, peer, detail, lines } = result.left;
  if (isJson) {
    stdout.write(`${JSON.stringify({ outcome: tag.toLowerCase(), step, peer, detail, lines })}\n`);
  } else {
    const head = `${tag.toLowerCase()}: ${detail} (step ${step}, peer ${peer})`;
    stderr.write([head, ...lines].map((line) => `${line}\n`).join(''));
  }
  return EXIT_CODES[tag];
}
