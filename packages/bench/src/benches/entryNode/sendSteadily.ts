/**
 * Open-loop load of the benches of faults.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type Random from '@burdockcove/runtime/Random';

const ORDER_SHARE = 0.3;
const ORDER = Buffer.alloc(200, 'o');
const OK_STATUS = 200;

interface Sent {
  readonly id: string;
  readonly isOrder: boolean;
  /** Monotonic time at which it was due, in milliseconds. */
  readonly dueMs: number;
  /** Milliseconds from when it was due until the answer or the failure. */
  readonly tookMs: number;
  readonly isAnswered: boolean;
}

interface LoadOptions {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** When callers go away, in milliseconds after they sent; undefined: they wait to the end. */
  readonly drawPatienceMs: () => number | undefined;
}

/** Sends at a steady rate, whether or not answers came. */
export default async function sendSteadily(
  address: string,
  random: Random,
  { ratePerSecond, durationMs, drawPatienceMs }: LoadOptions,
): Promise<readonly Sent[]> {
  const agent = new Agent({ connections: 256 });
  const startedMs = performance.now();
  const sendOne = async (id: string, dueMs: number): Promise<Sent> => {
    const isOrder = random.nextFloat() < ORDER_SHARE;
    const patienceMs = drawPatienceMs();
    const base = { id, isOrder, dueMs };
    try {
      const answer = await request(`http://${address}${isOrder ? '/orders' : '/stock'}`, {
        method: isOrder ? 'POST' : 'GET',
        headers: { host: 'desk.example', 'request-id': id },
        dispatcher: agent,
        ...(isOrder ? { body: ORDER } : {}),
        ...(patienceMs === undefined ? {} : { signal: AbortSignal.timeout(patienceMs) }),
      });
      await answer.body.text();
      const isAnswered = answer.statusCode === OK_STATUS;
      return { ...base, isAnswered, tookMs: performance.now() - dueMs };
    } catch {
      return { ...base, isAnswered: false, tookMs: performance.now() - dueMs };
    }
  };
  const pending: Promise<Sent>[] = [];
  const count = Math.floor((ratePerSecond * durationMs) / 1000);
  for (let i = 0; i < count; i += 1) {
    const dueMs = startedMs + (i * 1000) / ratePerSecond;
    await wait(Math.max(0, dueMs - performance.now()));
    pending.push(sendOne(`r${i}`, dueMs));
  }
  const sent = await Promise.all(pending);
  await agent.destroy();
  return sent;
}
