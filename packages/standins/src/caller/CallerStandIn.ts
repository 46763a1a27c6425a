/**
 * A stand-in for a caller: asks which entry VM to use, caches the answer, checks what it is given.
 */
import { Agent, request } from 'undici';
import type Clock from '@burdockcove/runtime/Clock';
import type CallerOptions from './CallerOptions.js';
import type CallerOutcome from './CallerOutcome.js';
import type CallerRequest from './CallerRequest.js';
import readOutcome from './readOutcome.js';

const LOOKUP_TIMEOUT_MS = 2000;

/** Tries the entry VMs in the order given; moves on where a connection is refused. */
export default class CallerStandIn {
  private readonly agent: Agent;

  private readonly cache = new Map<string, { entries: readonly string[]; untilMs: number }>();

  private sequence = 0;

  constructor(
    private readonly options: CallerOptions,
    private readonly clock: Clock,
  ) {
    this.agent = new Agent({ connect: { localAddress: options.localIp } });
  }

  /** Sends one request and says what the caller was told. */
  async sendRequest(wanted: CallerRequest): Promise<CallerOutcome> {
    const dueMs = this.clock.getMonotonicMs();
    const id = `${this.options.name}-${(this.sequence += 1)}`;
    const entries = await this.findEntries(wanted.service);
    let failure = '';
    const base = { id, method: wanted.method, target: '', status: 0 };
    for (const entry of entries) {
      try {
        const outcome = await this.askEntry(entry, id, wanted);
        return { ...base, ...outcome, failure: '', latencyMs: this.clock.getMonotonicMs() - dueMs };
      } catch (error) {
        this.cache.delete(wanted.service);
        failure = `${(error as { code?: string }).code ?? String(error)} at ${entry}`;
        if ((error as { code?: string }).code !== 'ECONNREFUSED') {
          return { ...base, told: 'cut', failure, latencyMs: this.clock.getMonotonicMs() - dueMs };
        }
      }
    }
    return { ...base, told: 'refused', failure, latencyMs: this.clock.getMonotonicMs() - dueMs };
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async findEntries(service: string): Promise<readonly string[]> {
    const cached = this.cache.get(service);
    if (cached && cached.untilMs > this.clock.getMonotonicMs()) {
      return cached.entries;
    }
    for (const entry of [...(cached?.entries ?? []), ...this.options.entries]) {
      const found = await this.lookUp(entry, service);
      if (found.length > 0) {
        return found;
      }
    }
    return cached?.entries ?? this.options.entries;
  }

  private async lookUp(entry: string, service: string): Promise<readonly string[]> {
    try {
      const url = `http://${entry}/_burdockcove/entries?service=${service}&client=${this.options.localIp}`;
      const answer = await request(url, {
        dispatcher: this.agent,
        headersTimeout: LOOKUP_TIMEOUT_MS,
        bodyTimeout: LOOKUP_TIMEOUT_MS,
      });
      if (answer.statusCode !== 200) {
        await answer.body.dump();
        return [];
      }
      const list = (await answer.body.json()) as LookupAnswer;
      const entries = list.entries.map(({ address }) => address);
      const untilMs = this.clock.getMonotonicMs() + list.maxAgeSeconds * 1000;
      this.cache.set(service, { entries, untilMs });
      return entries;
    } catch {
      return [];
    }
  }

  private async askEntry(
    entry: string,
    id: string,
    wanted: CallerRequest,
  ): Promise<Pick<CallerOutcome, 'told' | 'status' | 'target'>> {
    const answer = await request(`http://${entry}${wanted.path}`, {
      dispatcher: this.agent,
      method: wanted.method,
      headers: {
        host: wanted.service,
        'request-id': id,
        member: wanted.member,
        'burdockcove-deadline-ms': String(wanted.deadlineMs),
      },
      body: wanted.body,
      headersTimeout: this.options.timeoutMs,
      bodyTimeout: this.options.timeoutMs,
    });
    const text = await answer.body.text();
    return readOutcome(id, answer.statusCode, answer.headers, text);
  }
}

interface LookupAnswer {
  readonly maxAgeSeconds: number;
  readonly entries: readonly { readonly address: string }[];
}
