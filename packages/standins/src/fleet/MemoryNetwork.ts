/**
 * A network in memory between processes in one test, with partitions, silence and delay.
 */
import { Code, ConnectError, createRouterTransport, type Transport } from '@connectrpc/connect';
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type PeerTransports from '@burdockcove/protocol/PeerTransports';
import type RouteRegistrar from '@burdockcove/control/peer/RouteRegistrar';
import ByteMeter from './ByteMeter.js';

interface Endpoint {
  readonly transport: Transport;
}

function waitAborted(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const fail = (): void => reject(new ConnectError('aborted', Code.Canceled));
    if (signal.aborted) {
      fail();
    }
    signal.addEventListener('abort', fail, { once: true });
  });
}

/** Calls across a cut wait until they are given up; calls to a process that is down fail at once. */
export default class MemoryNetwork {
  private readonly endpoints = new Map<string, Endpoint>();

  private isCut: (from: string, to: string) => boolean = () => false;

  private calls = 0;

  /** Counts the encoded messages of both directions. */
  readonly meter = new ByteMeter();

  constructor(
    private readonly clock: Clock,
    private readonly delayMs = 0,
  ) {}

  /** Serves the routes at the peer address; an earlier process there is replaced. */
  register(peerAddress: string, routes: readonly RouteRegistrar[]): void {
    const transport = createRouterTransport(
      (router) => routes.forEach((register) => register(router)),
      { transport: { interceptors: [this.meter.interceptor] } },
    );
    this.endpoints.set(peerAddress, { transport });
  }

  /** Stops serving at the peer address. */
  remove(peerAddress: string): void {
    this.endpoints.delete(peerAddress);
  }

  /** Replaces the rule that says between which peer addresses nothing passes. */
  setCut(isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut;
  }

  countCalls(): number {
    return this.calls;
  }

  /** The connections of the process at the peer address. */
  getTransports(from: string): PeerTransports {
    return { getTransport: (to) => this.buildTransport(from, to) };
  }

  private buildTransport(from: string, to: string): Transport {
    return {
      unary: async (method, signal, timeoutMs, header, input, contextValues) => {
        const { transport } = await this.enter(from, to, signal);
        const call = transport.unary(method, signal, timeoutMs, header, input, contextValues);
        const answer = await call;
        await this.passMessage(from, to, signal);
        return answer;
      },
      stream: async (method, signal, timeoutMs, header, input, contextValues) => {
        const { transport } = await this.enter(from, to, signal);
        const answer = await transport.stream(
          method,
          signal,
          timeoutMs,
          header,
          input,
          contextValues,
        );
        return { ...answer, message: this.passMessages(from, to, answer.message, signal) };
      },
    };
  }

  private async enter(from: string, to: string, signal?: AbortSignal): Promise<Endpoint> {
    this.calls += 1;
    await this.passMessage(from, to, signal);
    const endpoint = this.endpoints.get(to);
    if (endpoint === undefined) {
      throw new ConnectError('connection refused', Code.Unavailable);
    }
    return endpoint;
  }

  /** Waits the delay, or until given up where the way is cut. */
  private async passMessage(from: string, to: string, signal?: AbortSignal): Promise<void> {
    if (this.delayMs > 0) {
      await waitFor(this.clock, this.delayMs, signal);
    }
    if (this.isCut(from, to) || this.isCut(to, from)) {
      await waitAborted(signal ?? new AbortController().signal);
    }
  }

  private async *passMessages<A>(
    from: string,
    to: string,
    messages: AsyncIterable<A>,
    signal?: AbortSignal,
  ): AsyncGenerator<A> {
    const endpoint = this.endpoints.get(to);
    for await (const message of messages) {
      await this.passMessage(from, to, signal);
      if (this.endpoints.get(to) !== endpoint) {
        throw new ConnectError('connection reset', Code.Unavailable);
      }
      yield message;
    }
  }
}
