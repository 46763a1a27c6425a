/**
 * Keeps the process running.
 */

/** Longest interval that timers allow. */
const INTERVAL_MS = 2 ** 31 - 1;

/**
 * Keeps the process running until the returned function is called. Node.js ends a process without a word once no socket
 * is open and only timers are left that do not keep it alive, as between two tries to listen.
 */
export default function holdProcessOpen(): () => void {
  const handle = setInterval(() => undefined, INTERVAL_MS);
  return () => clearInterval(handle);
}
