/**
 * Ends an answer that cannot be completed.
 */
import type { ServerResponse } from 'node:http';

/** Resets the caller's connection, so that no caller can take the part it has for the whole. */
export default function abortResponse(response: ServerResponse): void {
  if (response.socket) {
    response.socket.resetAndDestroy();
  }
  response.destroy();
}
