/**
 * Look-ups over kept connections.
 */
import { setTimeout } from 'node:timers/promises';
import { Pool } from 'undici';

const CONNECTIONS = 16;
const OK_STATUS = 200;
const MS_PER_SECOND = 1000;
const TICK_MS = 2;

/** Each look-up names another client; an answer without entries rejects. */
export default class EntriesLoad {
  private readonly pool: Pool;

  private sent = 0;

  constructor(address: string) {
    this.pool = new Pool(`http://${address}`, { connections: CONNECTIONS });
  }

  /** Look-ups a second with a fixed number of callers, each waiting for its answer. */
  async runClosedLoop(callers: number, durationMs: number): Promise<number> {
    const startedMs = performance.now();
    let done = 0;
    const runCaller = async (): Promise<void> => {
      while (performance.now() - startedMs < durationMs) {
        await this.lookUp();
        done += 1;
      }
    };
    await Promise.all(Array.from({ length: callers }, runCaller));
    return (done * MS_PER_SECOND) / (performance.now() - startedMs);
  }

  /** Sends at a fixed rate a second whether or not answers came; returns the rate achieved. */
  async runOpenLoop(perSecond: number, durationMs: number): Promise<number> {
    const startedMs = performance.now();
    const count = Math.floor((perSecond * durationMs) / MS_PER_SECOND);
    const pending: Promise<void>[] = [];
    while (pending.length < count) {
      const due = ((performance.now() - startedMs) * perSecond) / MS_PER_SECOND;
      while (pending.length < Math.min(due, count)) {
        pending.push(this.lookUp());
      }
      await setTimeout(TICK_MS);
    }
    await Promise.all(pending);
    return (count * MS_PER_SECOND) / (performance.now() - startedMs);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async lookUp(): Promise<void> {
    this.sent += 1;
    const client = `10.${11 + (this.sent % 3)}.${this.sent % 251}.${this.sent % 241}`;
    const path = `/_burdockcove/entries?service=catalogue&client=${client}`;
    const { statusCode, body } = await this.pool.request({ path, method: 'GET' });
    const answer = (await body.json()) as { readonly entries?: readonly unknown[] };
    if (statusCode !== OK_STATUS || !answer.entries?.length) {
      throw new Error(`status ${statusCode} without entries`);
    }
  }
}
