/**
 * Aborts a response that cannot be completed.
 */
import type { ServerResponse } from 'node:http';

/** Resets the caller's connection, so that the caller cannot mistake the partial response for a complete one. */
export default function abortResponse(response: ServerResponse): void {
  if (response.socket) {
    response.socket.resetAndDestroy();
  }
  response.destroy();
}
