/**
 * HTTP calls to the endpoints of an etcd v3 JSON gateway.
 */
import * as E from 'fp-ts/lib/Either.js';
import { Agent, type Dispatcher } from 'undici';
import type Clock from '@burdockcove/runtime/Clock';
import refuseInvalidHeads from '@burdockcove/runtime/refuseInvalidHeads';
import type StoreError from '@burdockcove/types/StoreError';
import type GatewayCall from './GatewayCall.js';
import interpretGatewayFailure from './interpretGatewayFailure.js';
import interpretGatewayStatus from './interpretGatewayStatus.js';
import parseGatewayResponse from './parseGatewayResponse.js';

const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS_PER_ENDPOINT = 16;

/** Retries at the next endpoint only if a call certainly had no effect. */
export default class GatewayClient {
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    connections: CONNECTIONS_PER_ENDPOINT,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  private readonly dispatcher = this.agent.compose(refuseInvalidHeads);

  private preferredIndex = 0;

  constructor(
    private readonly clock: Clock,
    private readonly endpoints: readonly string[],
    private readonly timeoutMs: number,
  ) {}

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Tries one endpoint after another until one responds or the outcome is unknown. */
  async runCall<A>(call: GatewayCall<A>): Promise<E.Either<StoreError, A>> {
    let result = await this.runAtEndpoint(this.endpoints[this.preferredIndex] ?? '', call);
    for (let tried = 1; tried < this.endpoints.length; tried += 1) {
      if (E.isRight(result) || result.left._tag !== 'StoreUnavailable') {
        return result;
      }
      this.preferredIndex = (this.preferredIndex + 1) % this.endpoints.length;
      result = await this.runAtEndpoint(this.endpoints[this.preferredIndex] ?? '', call);
    }
    return result;
  }

  /** Opens a stream at the preferred endpoint; after a failure the next call uses the next endpoint. */
  async openStream(
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<E.Either<StoreError, Dispatcher.ResponseData['body']>> {
    const endpoint = this.endpoints[this.preferredIndex] ?? '';
    const timeout = this.startTimeout(signal);
    try {
      const response = await this.sendBody(endpoint, path, body, timeout.signal);
      timeout.cancel();
      if (response.statusCode === 200) {
        return E.right(response.body);
      }
      await response.body.dump();
      return E.left(interpretGatewayStatus(response.statusCode, 'store watch', endpoint, false));
    } catch (error) {
      timeout.cancel();
      this.selectNextEndpoint();
      return E.left(interpretGatewayFailure(error, 'store watch', endpoint, false));
    }
  }

  /** Makes the next call use another endpoint. */
  selectNextEndpoint(): void {
    this.preferredIndex = (this.preferredIndex + 1) % this.endpoints.length;
  }

  getPreferredEndpoint(): string {
    return this.endpoints[this.preferredIndex] ?? '';
  }

  private async runAtEndpoint<A>(
    endpoint: string,
    call: GatewayCall<A>,
  ): Promise<E.Either<StoreError, A>> {
    const timeout = this.startTimeout();
    try {
      const response = await this.sendBody(endpoint, call.path, call.body, timeout.signal);
      const text = await response.body.text();
      return response.statusCode === 200
        ? parseGatewayResponse(text, endpoint, call)
        : E.left(interpretGatewayStatus(response.statusCode, call.step, endpoint, call.isWrite));
    } catch (error) {
      return E.left(interpretGatewayFailure(error, call.step, endpoint, call.isWrite));
    } finally {
      timeout.cancel();
    }
  }

  private sendBody(
    endpoint: string,
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    return this.dispatcher.request({
      origin: endpoint,
      path,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal,
    });
  }

  private startTimeout(outer?: AbortSignal): { signal: AbortSignal; cancel: () => void } {
    const abort = new AbortController();
    const timer = this.clock.startTimer(this.timeoutMs, () =>
      abort.abort(new Error('no answer in time')),
    );
    const signal = outer === undefined ? abort.signal : AbortSignal.any([abort.signal, outer]);
    return { signal, cancel: () => timer.cancel() };
  }
}
