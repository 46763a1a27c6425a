/**
 * Reading of request bodies.
 */
import type { IncomingMessage } from 'node:http';
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import ByteCollector from '../exchange/ByteCollector.js';
import BodyStream from '../exchange/BodyStream.js';
import type ReadAheadBudget from '../exchange/ReadAheadBudget.js';
import type RequestBody from '../exchange/RequestBody.js';

/** Bodies up to this size are buffered before the request is forwarded. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Why nothing of a request is forwarded. */
type BodyFault = 'truncated' | 'too-late' | 'too-large';

interface BodyLimits {
  readonly maxBytes: number;
  /** Time within which the body, or its buffered part, must arrive, in milliseconds. */
  readonly remainingMs: number;
}

/** Resolves with the bytes up to the end or until the buffer is full. */
function readPrefix(
  message: IncomingMessage,
  clock: Clock,
  { maxBytes, remainingMs }: BodyLimits,
): Promise<Either<BodyFault, Buffer>> {
  return new Promise((resolve) => {
    // Emptied in the end, since it is kept as long as the request.
    const collected = new ByteCollector();
    let isDone = false;
    const finish = (body: Either<BodyFault, Buffer>): void => {
      isDone = true;
      resolve(body);
    };
    const timer = clock.startTimer(Math.max(0, remainingMs), () => finish(left('too-late')));
    message.on('error', () => undefined);
    message.on('close', () => {
      timer.cancel();
      finish(left('truncated'));
    });
    message.on('end', () => {
      timer.cancel();
      finish(right(collected.takeJoined()));
    });
    message.on('data', (part: Buffer) => {
      // After the end, the rest of a refused body is discarded.
      if (isDone) {
        return;
      }
      collected.append(part);
      if (collected.length > maxBytes) {
        finish(left('too-large'));
      } else if (collected.length > MAX_BUFFERED_BYTES) {
        message.pause();
        timer.cancel();
        finish(right(collected.takeJoined()));
      }
    });
  });
}

/** Reads a small body completely and a large one as a stream. */
export default async function readBody(
  message: IncomingMessage,
  clock: Clock,
  limits: BodyLimits,
  budget: ReadAheadBudget,
): Promise<Either<BodyFault, RequestBody>> {
  const prefix = await readPrefix(message, clock, limits);
  if (isLeft(prefix)) {
    return prefix;
  }
  if (message.readableEnded) {
    return right({ _tag: 'Buffered', bytes: prefix.right });
  }
  return message.destroyed
    ? left('truncated')
    : right({
        _tag: 'Streamed',
        stream: new BodyStream(message, prefix.right, {
          maxBytes: limits.maxBytes,
          clock,
          budget,
        }),
      });
}
