/**
 * The VM list in the Prometheus HTTP service discovery format.
 */
import * as E from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { Agent } from 'undici';
import { z } from 'zod';
import type Clock from '@burdockcove/runtime/Clock';
import refuseInvalidHeads from '@burdockcove/runtime/refuseInvalidHeads';
import type StoreError from '@burdockcove/types/StoreError';
import type Vm from '@burdockcove/types/Vm';
import type VmList from './VmList.js';

const STEP = 'vm list';
const CALL_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 1_000;

const Groups = z.array(
  z.object({
    targets: z.array(z.string()),
    labels: z.object({
      kind: z.enum(['entry', 'target']),
      failure_domain: z.string(),
      state: z.enum(['live', 'leaving']),
      peer_address: z.string().optional(),
    }),
  }),
);

type Group = z.infer<typeof Groups>[number];

function buildVms({ targets, labels }: Group): readonly Vm[] {
  return targets.map((address) => ({
    address,
    kind: labels.kind,
    failureDomain: labels.failure_domain,
    state: labels.state,
    ...(labels.peer_address === undefined ? {} : { peerAddress: labels.peer_address }),
  }));
}

/** A list with an invalid part is an error; it is never shortened. */
export default class HttpSdVmList implements VmList {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, connections: 1 });

  private readonly dispatcher = this.agent.compose(refuseInvalidHeads);

  constructor(
    private readonly clock: Clock,
    private readonly url: string,
  ) {}

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  listVms(): TaskEither<StoreError, readonly Vm[]> {
    return async () => {
      const abort = new AbortController();
      const timer = this.clock.startTimer(CALL_TIMEOUT_MS, () => abort.abort());
      try {
        const text = await this.fetchText(abort.signal);
        return E.right(Groups.parse(JSON.parse(text)).flatMap(buildVms));
      } catch (error) {
        return E.left(this.buildError(error));
      } finally {
        timer.cancel();
      }
    };
  }

  private async fetchText(signal: AbortSignal): Promise<string> {
    const { origin, pathname, search } = new URL(this.url);
    const path = `${pathname}${search}`;
    const response = await this.dispatcher.request({ origin, path, method: 'GET', signal });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new Error(`status ${response.statusCode}`);
    }
    return text;
  }

  private buildError(error: unknown): StoreError {
    const isMalformed = error instanceof z.ZodError || error instanceof SyntaxError;
    return {
      _tag: isMalformed ? 'StoreMalformed' : 'StoreUnavailable',
      step: STEP,
      peer: this.url,
      detail: String(error),
    };
  }
}
