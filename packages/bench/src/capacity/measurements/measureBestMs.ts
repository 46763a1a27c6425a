/**
 * Timing of a short piece of work.
 */

const ROUNDS = 9;

/** The best of a few rounds, in milliseconds, so that pauses of a busy machine weigh less. */
export default function measureBestMs(run: () => void): number {
  let best = Infinity;
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedMs = performance.now();
    run();
    best = Math.min(best, performance.now() - startedMs);
  }
  return best;
}
