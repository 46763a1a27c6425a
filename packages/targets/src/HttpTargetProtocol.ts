/**
 * The target contract over plain HTTP/1.1: `/healthz`, `/load` and the response that sheds a request.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { getGlobalDispatcher, request, type Dispatcher } from 'undici';
import { z } from 'zod';
import { none, type Option } from 'fp-ts/lib/Option.js';
import refuseInvalidHeads from '@burdockcove/runtime/refuseInvalidHeads';
import type PeerError from '@burdockcove/types/PeerError';
import NO_NOTICE from './NO_NOTICE.js';
import type ResponseMeaning from './ResponseMeaning.js';
import type SentRequest from './SentRequest.js';
import type TargetLoad from './TargetLoad.js';
import type TargetNotice from './TargetNotice.js';
import type TargetProtocol from './TargetProtocol.js';
import type TargetReports from './TargetReports.js';

const SHED_STATUS = 503;
const SHED_HEADER = 'target-outcome';
const SHED_VALUE = 'not-run';
const DEADLINE_HEADER = 'burdockcove-deadline-ms';
const OK_STATUS = 200;
const MAX_REPORT_BYTES = 4096;
const DEFAULT_TIMEOUT_MS = 1000;

const loadSchema = z
  .object({
    inFlight: z.number().int().nonnegative(),
    slots: z.number().int().nonnegative(),
    draining: z.boolean(),
  })
  .readonly();

interface Report {
  readonly status: number;
  readonly text: string;
}

/** Reads a body of at most `MAX_REPORT_BYTES`; throws on a longer one. */
async function readBounded(body: Dispatcher.ResponseData['body']): Promise<string> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of body as AsyncIterable<Buffer>) {
    bytes += part.length;
    if (bytes > MAX_REPORT_BYTES) {
      throw new Error(`report is longer than ${MAX_REPORT_BYTES} bytes`);
    }
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}

/** Calls targets with undici; every call ends within the timeout, in milliseconds. */
export default class HttpTargetProtocol implements TargetProtocol, TargetReports {
  constructor(
    private readonly timeoutMs = DEFAULT_TIMEOUT_MS,
    private readonly dispatcher?: Dispatcher,
  ) {}

  listRequestHeaders(_sent: SentRequest, remainingMs: number): readonly string[] {
    return [DEADLINE_HEADER, String(Math.floor(remainingMs))];
  }

  parseResponseLoad(): Option<TargetLoad> {
    return none;
  }

  parseNotice(): TargetNotice {
    return NO_NOTICE;
  }

  interpretResponse(
    status: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ): ResponseMeaning {
    const isShed = status === SHED_STATUS && headers[SHED_HEADER] === SHED_VALUE;
    return isShed ? 'not-run' : 'answered';
  }

  readHealth(address: string): TaskEither<PeerError, boolean> {
    return async () => {
      const report = await this.fetchReport(address, '/healthz');
      return isLeft(report) ? report : right(report.right.status === OK_STATUS);
    };
  }

  readLoad(address: string): TaskEither<PeerError, TargetLoad> {
    return async () => {
      const report = await this.fetchReport(address, '/load');
      return isLeft(report) ? report : this.parseLoad(address, report.right);
    };
  }

  private parseLoad(address: string, report: Report): Either<PeerError, TargetLoad> {
    const malformed = (detail: string): Either<PeerError, TargetLoad> =>
      left({ _tag: 'PeerMalformed', step: 'read /load', peer: address, detail });
    if (report.status !== OK_STATUS) {
      return malformed(`status ${report.status}`);
    }
    try {
      const parsed = loadSchema.safeParse(JSON.parse(report.text));
      return parsed.success ? right(parsed.data) : malformed(z.prettifyError(parsed.error));
    } catch (error) {
      return malformed(String(error));
    }
  }

  private async fetchReport(address: string, path: string): Promise<Either<PeerError, Report>> {
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), this.timeoutMs);
    try {
      const response = await request(`http://${address}${path}`, {
        signal: abort.signal,
        dispatcher: (this.dispatcher ?? getGlobalDispatcher()).compose(refuseInvalidHeads),
      });
      return right({ status: response.statusCode, text: await readBounded(response.body) });
    } catch (error) {
      const detail = String(error);
      return left({ _tag: 'PeerUnreachable', step: `read ${path}`, peer: address, detail });
    } finally {
      clearTimeout(timer);
    }
  }
}
