/**
 * The server for calls from other entry VMs: Connect over HTTP/2 without TLS.
 */
import { once } from 'node:events';
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type Child from '@burdockcove/runtime/Child';
import type Logger from '@burdockcove/runtime/Logger';
import type RouteRegistrar from './RouteRegistrar.js';

/** Longest message that a peer may send, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Calls in progress at once on one connection. */
const MAX_STREAMS_PER_CONNECTION = 64;

/** Listens while it runs; a stop closes every session, since peers retry elsewhere. */
export default class PeerServer implements Child {
  readonly name = 'peer-server';

  private readonly sessions = new Set<ServerHttp2Session>();

  private port = 0;

  constructor(
    private readonly ip: string,
    private readonly listenPort: number,
    private readonly registrars: readonly RouteRegistrar[],
    private readonly logger: Logger,
  ) {}

  /** The port listened on, zero before the server has started. */
  getPort(): number {
    return this.port;
  }

  async run(signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    const server = this.createServer();
    const failed = once(server, 'error', { signal }).catch(() => []);
    server.listen(this.listenPort, this.ip);
    server.once('listening', () => {
      this.port = (server.address() as AddressInfo).port;
    });
    const [error] = await failed;
    await this.closeServer(server);
    if (error) {
      throw error as Error;
    }
  }

  private createServer(): Http2Server {
    const routes = (router: Parameters<RouteRegistrar>[0]): void =>
      this.registrars.forEach((register) => register(router));
    const handler = connectNodeAdapter({ routes, readMaxBytes: MAX_MESSAGE_BYTES });
    const settings = { maxConcurrentStreams: MAX_STREAMS_PER_CONNECTION };
    const server = createServer({ settings }, handler);
    server.on('session', (session) => this.keepSession(session));
    return server;
  }

  private keepSession(session: ServerHttp2Session): void {
    this.sessions.add(session);
    session.once('close', () => this.sessions.delete(session));
    session.on('error', (error) =>
      this.logger.debug('peer session failed', {
        step: 'peer-server',
        peer: session.socket?.remoteAddress ?? '',
        error: String(error),
      }),
    );
  }

  private async closeServer(server: Http2Server): Promise<void> {
    this.sessions.forEach((session) => session.destroy());
    this.port = 0;
    if (server.listening) {
      server.close();
      await once(server, 'close');
    }
  }
}
