/**
 * The admin server of one entry VM: health, readiness, metrics, status and explanations.
 */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { isSome } from 'fp-ts/lib/Option.js';
import type Child from '@burdockcove/runtime/Child';
import type AdminAnswer from './AdminAnswer.js';
import type AdminParts from './AdminParts.js';
import buildExplainAnswer from './buildExplainAnswer.js';
import buildJsonAnswer from './buildJsonAnswer.js';

const OK = 200;
const NOT_FOUND = 404;
const NOT_ALLOWED = 405;
const FAILED = 500;
const UNAVAILABLE = 503;
const MAX_CONNECTIONS = 64;
const REQUEST_TIMEOUT_MS = 10_000;
const TEXT = 'text/plain; charset=utf-8';

/** Listens on an address apart from the callers'; answers only `GET` and `HEAD`. */
export default class AdminServer implements Child {
  readonly name = 'admin-server';

  private server: Server | undefined;

  constructor(private readonly parts: AdminParts) {}

  /** Listens until the signal is aborted, then closes after the answers in progress. */
  async run(signal: AbortSignal): Promise<void> {
    const server = createServer((request, response) => {
      this.serveRequest(request, response).catch((error: unknown) => {
        this.parts.logger.error('admin request failed', { step: 'admin', error: String(error) });
        response.destroy();
      });
    });
    server.maxConnections = MAX_CONNECTIONS;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    server.listen(this.parts.port, this.parts.ip);
    await once(server, 'listening');
    this.server = server;
    const closed = once(server, 'close');
    if (!signal.aborted) {
      await Promise.race([once(signal, 'abort'), closed]);
    }
    server.close();
    server.closeIdleConnections();
    await closed;
  }

  /** The port in use, or undefined before the server listens. */
  getPort(): number | undefined {
    return (this.server?.address() as AddressInfo | null | undefined)?.port;
  }

  private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const answer = await this.buildAnswer(request);
    response.writeHead(answer.status, {
      'content-type': answer.contentType,
      'content-length': Buffer.byteLength(answer.body),
      'cache-control': 'no-store',
    });
    response.end(request.method === 'HEAD' ? undefined : answer.body);
  }

  private async buildAnswer(request: IncomingMessage): Promise<AdminAnswer> {
    const method = request.method ?? '';
    const [path = '', query = ''] = (request.url ?? '').split('?');
    if (method !== 'GET' && method !== 'HEAD') {
      return buildJsonAnswer(NOT_ALLOWED, { status: NOT_ALLOWED, detail: 'only GET and HEAD' });
    }
    switch (path) {
      case '/healthz':
        return { status: OK, contentType: TEXT, body: 'ok\n' };
      case '/readyz':
        return this.buildReadyAnswer();
      case '/metrics':
        return this.buildMetricsAnswer();
      case '/status':
        return this.buildStatusAnswer();
      case '/explain':
        return buildExplainAnswer(this.parts, new URLSearchParams(query));
      default:
        return buildJsonAnswer(NOT_FOUND, {
          status: NOT_FOUND,
          detail: 'known paths: /healthz /readyz /metrics /status /explain',
        });
    }
  }

  private buildReadyAnswer(): AdminAnswer {
    const reasons = this.listReasons();
    const ready = reasons.length === 0;
    return buildJsonAnswer(ready ? OK : UNAVAILABLE, { ready, reasons });
  }

  private listReasons(): readonly string[] {
    return this.parts.checks.flatMap((check) => {
      const reason = check.findReason();
      return reason === undefined ? [] : [`${check.name}: ${reason}`];
    });
  }

  private async buildMetricsAnswer(): Promise<AdminAnswer> {
    const { registry } = this.parts;
    try {
      return { status: OK, contentType: registry.contentType, body: await registry.metrics() };
    } catch (error) {
      return buildJsonAnswer(FAILED, { status: FAILED, detail: String(error) });
    }
  }

  private buildStatusAnswer(): AdminAnswer {
    const current = this.parts.steering.getCurrent();
    const sections = this.parts.sections.map((each) => [each.name, each.describeStatus()]);
    const reasons = this.listReasons();
    return buildJsonAnswer(OK, {
      revision: isSome(current) ? current.value.revision : 0,
      ready: reasons.length === 0,
      reasons,
      ...Object.fromEntries(sections),
    });
  }
}
