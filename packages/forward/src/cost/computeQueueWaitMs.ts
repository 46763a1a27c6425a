/**
 * Computes the wait for a slot from the work that a target still has to do.
 */

/**
 * Returns milliseconds. The work of all but the last free slot's requests delays nobody: only the share of the requests
 * beyond them counts, divided by the slots that work on it.
 */
export default function computeQueueWaitMs(
  workLeftMs: number,
  inFlight: number,
  slots: number,
): number {
  const queuePosition = inFlight + 1 - slots;
  return queuePosition <= 0 ? 0 : (workLeftMs * queuePosition) / (inFlight * Math.max(1, slots));
}
