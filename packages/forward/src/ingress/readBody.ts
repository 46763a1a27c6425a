/**
 * Reading of request bodies.
 */
import type { IncomingMessage } from 'node:http';
import { isNone, none, some, type Option } from 'fp-ts/lib/Option.js';
import BodyStream from '../exchange/BodyStream.js';
import type RequestBody from '../exchange/RequestBody.js';

/** Bodies up to this size are buffered before the request is forwarded. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Resolves with the bytes up to the end or until the buffer is full; none if the body was truncated. */
function readPrefix(message: IncomingMessage): Promise<Option<Buffer>> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    let isDone = false;
    const finish = (body: Option<Buffer>): void => {
      isDone = true;
      resolve(body);
    };
    message.on('error', () => undefined);
    message.on('close', () => finish(none));
    message.on('end', () => finish(some(Buffer.concat(parts))));
    message.on('data', (part: Buffer) => {
      if (isDone) {
        return;
      }
      parts.push(part);
      bytes += part.length;
      if (bytes > MAX_BUFFERED_BYTES) {
        message.pause();
        finish(some(Buffer.concat(parts)));
      }
    });
  });
}

/** Reads a small body completely and a large one as a stream; returns null if the caller truncated the body. */
export default async function readBody(message: IncomingMessage): Promise<RequestBody | null> {
  const prefix = await readPrefix(message);
  if (isNone(prefix)) {
    return null;
  }
  if (message.readableEnded) {
    return { _tag: 'Buffered', bytes: prefix.value };
  }
  return message.destroyed
    ? null
    : { _tag: 'Streamed', stream: new BodyStream(message, prefix.value) };
}
