/**
 * Memory held by a value, in bytes.
 */
import measureMemory from '../../benches/blocks/measureMemory.js';

const BYTES_PER_MEGABYTE = 1_000_000;
const ROUNDS = 4;

/** The median of a few rounds after one that warms up, since the first also counts compiled code. */
export default function measureHeldBytes<Value>(
  build: () => Value,
  use: (value: Value) => void,
): number {
  const rounds: number[] = [];
  for (let round = 0; round <= ROUNDS; round += 1) {
    const { value, megabytes } = measureMemory(build);
    use(value);
    rounds.push(megabytes * BYTES_PER_MEGABYTE);
  }
  const sorted = rounds.slice(1).sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}
