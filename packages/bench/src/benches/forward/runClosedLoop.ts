/**
 * Closed-loop load.
 */
import type LoadClient from './LoadClient.js';

const MS_PER_SECOND = 1000;

/** Requests a second with a fixed number of callers, each waiting for its answer. */
export default async function runClosedLoop(
  client: LoadClient,
  callers: number,
  durationMs: number,
): Promise<number> {
  const startedMs = performance.now();
  const endMs = startedMs + durationMs;
  let done = 0;
  const runCaller = async (): Promise<void> => {
    while (performance.now() < endMs) {
      await client.send();
      done += 1;
    }
  };
  await Promise.all(Array.from({ length: callers }, runCaller));
  return (done * MS_PER_SECOND) / (performance.now() - startedMs);
}
