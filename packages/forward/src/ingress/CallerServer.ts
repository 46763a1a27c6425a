/**
 * The HTTP server for callers.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type Child from '@burdockcove/runtime/Child';
import type Logger from '@burdockcove/runtime/Logger';
import type Traffic from '../drain/Traffic.js';
import abortResponse from '../exchange/abortResponse.js';
import type ForwardMetrics from '../ForwardMetrics.js';
import type CallerHandler from './CallerHandler.js';
import type CallerLimits from './CallerLimits.js';
import DEFAULT_CALLER_LIMITS from './DEFAULT_CALLER_LIMITS.js';

const STEP = 'door';

/** Listens until its signal is aborted; then closes the server and its connections. */
export default class CallerServer implements Child, Traffic {
  readonly name = 'caller-server';

  private server: Server | null = null;

  private connections = 0;

  private timeouts: Partial<CallerLimits> = {};

  constructor(
    private readonly ip: string,
    private readonly port: number,
    private readonly handler: CallerHandler,
    private readonly logger: Logger,
    private readonly metrics: ForwardMetrics,
    private readonly limits: CallerLimits = DEFAULT_CALLER_LIMITS,
  ) {
    metrics.watchCallerConnections(() => this.connections);
  }

  async run(signal: AbortSignal): Promise<void> {
    await this.listen();
    await new Promise<void>((resolve, reject) => {
      this.server?.once('error', reject);
      signal.addEventListener('abort', () => resolve(), { once: true });
      if (signal.aborted) {
        resolve();
      }
    });
    await this.close();
  }

  /** Starts to listen; rejects if the address cannot be used. */
  async listen(): Promise<void> {
    const server = this.buildServer();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.ip, () => {
        server.off('error', reject);
        resolve();
      });
    });
    this.server = server;
  }

  /** Applies timeouts to future connections; size limits cannot change after the start. */
  applyTimeouts(
    timeouts: Pick<CallerLimits, 'headersTimeoutMs' | 'requestTimeoutMs' | 'keepAliveTimeoutMs'>,
  ): void {
    if (this.server !== null) {
      this.server.headersTimeout = timeouts.headersTimeoutMs;
      this.server.requestTimeout = timeouts.requestTimeoutMs;
      this.server.keepAliveTimeout = timeouts.keepAliveTimeoutMs;
    }
    this.timeouts = timeouts;
  }

  /** Returns the `IP:PORT` that the server listens on. */
  getAddress(): string {
    const { address, port } = this.server?.address() as AddressInfo;
    return `${address}:${port}`;
  }

  countInFlight(): number {
    return this.handler.countInFlight();
  }

  countConnections(): number {
    return this.connections;
  }

  getLastRequestMs(): number {
    return this.handler.getLastRequestMs();
  }

  /** Closes the server and all connections at once. */
  async close(): Promise<void> {
    const { server } = this;
    if (server === null) {
      return;
    }
    this.server = null;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  }

  private buildServer(): Server {
    const limits = { ...this.limits, ...this.timeouts };
    const server = createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: limits.headersTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        keepAliveTimeout: limits.keepAliveTimeoutMs,
        connectionsCheckingInterval: limits.checkIntervalMs,
        noDelay: true,
      },
      (request, response) => this.handleRequest(request, response),
    );
    server.maxConnections = limits.maxConnections;
    server.on('connection', (socket) => this.watchConnection(socket));
    server.on('connect', (_request, socket) => socket.destroy());
    server.on('drop', () => {
      this.metrics.recordRejectedConnection();
      server.closeIdleConnections();
    });
    return server;
  }

  private watchConnection(socket: Socket): void {
    this.connections += 1;
    socket.once('close', () => {
      this.connections -= 1;
    });
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    this.handler.handleRequest(request, response).catch((error: unknown) => {
      const peer = request.socket.remoteAddress ?? '';
      this.logger.error('request handling failed', { step: STEP, peer, error: String(error) });
      abortResponse(response);
    });
  }
}
