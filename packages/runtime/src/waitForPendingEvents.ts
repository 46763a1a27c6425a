/**
 * Wait for events that have already happened, such as connections that their peers closed.
 */

/**
 * Resolves after the event loop has polled once more. Bytes and the end of a connection that arrived together are
 * reported in two consecutive polls, so that work started at the bytes would not know of the end yet.
 */
export default function waitForPendingEvents(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}
