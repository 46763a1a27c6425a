/**
 * Memory held by a value.
 */

const BYTES_PER_MEGABYTE = 1_000_000;

function readHeldBytes(): number {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** What building the value added to heap and array buffers after collection, in megabytes. */
export default function measureMemory<Value>(build: () => Value): {
  readonly value: Value;
  readonly megabytes: number;
} {
  const before = readHeldBytes();
  const value = build();
  return { value, megabytes: (readHeldBytes() - before) / BYTES_PER_MEGABYTE };
}
