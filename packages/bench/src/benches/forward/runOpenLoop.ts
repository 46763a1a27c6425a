/**
 * Open-loop load.
 */
import { setImmediate } from 'node:timers/promises';
import type { Histogram } from 'hdr-histogram-js';
import type LoadClient from './LoadClient.js';

const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * Sends at a fixed rate a second whether or not answers came, and records microseconds from the time that
 * each request was due.
 */
export default async function runOpenLoop(
  client: LoadClient,
  ratePerSecond: number,
  durationMs: number,
  latencies: Histogram,
): Promise<void> {
  const startedMs = performance.now();
  const count = Math.floor((ratePerSecond * durationMs) / MS_PER_SECOND);
  const pending: Promise<void>[] = [];
  const sendDue = async (dueMs: number): Promise<void> => {
    await client.send();
    latencies.recordValue(Math.round((performance.now() - dueMs) * US_PER_MS));
  };
  while (pending.length < count) {
    const dueMs = startedMs + (pending.length * MS_PER_SECOND) / ratePerSecond;
    if (performance.now() >= dueMs) {
      pending.push(sendDue(dueMs));
    } else {
      await setImmediate();
    }
  }
  await Promise.all(pending);
}
