/**
 * Test harness: the real request path on loopback sockets, with a chooser that uses the targets in order.
 */
import { right } from 'fp-ts/lib/Either.js';
import { some } from 'fp-ts/lib/Option.js';
import { Registry } from 'prom-client';
import { Agent, request } from 'undici';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import SystemClock from '@burdockcove/runtime/SystemClock';
import ALWAYS_AVAILABLE from '@burdockcove/targets/ALWAYS_AVAILABLE';
import HttpTargetProtocol from '@burdockcove/targets/HttpTargetProtocol';
import type Service from '@burdockcove/types/Service';
import type Target from '@burdockcove/types/Target';
import type CallerLimits from '../../src/ingress/CallerLimits.js';
import CallerHandler from '../../src/ingress/CallerHandler.js';
import CallerServer from '../../src/ingress/CallerServer.js';
import DEFAULT_CALLER_LIMITS from '../../src/ingress/DEFAULT_CALLER_LIMITS.js';
import StopAdmission from '../../src/drain/StopAdmission.js';
import StopState from '../../src/drain/StopState.js';
import AttemptRunner from '../../src/exchange/AttemptRunner.js';
import ConnectionPools from '../../src/exchange/ConnectionPools.js';
import Forwarder from '../../src/exchange/Forwarder.js';
import PermitReleaser from '../../src/exchange/PermitReleaser.js';
import SilenceDetector from '../../src/exchange/SilenceDetector.js';
import ForwardMetrics from '../../src/ForwardMetrics.js';
import type TargetChooser from '../../src/TargetChooser.js';
import buildSteering from './buildSteering.js';
import OrderedChooser from './OrderedChooser.js';
import SERVICE from './SERVICE.js';
import type CallerResult from './CallerResult.js';

interface HarnessOptions {
  readonly service?: Partial<Service>;
  readonly limits?: Partial<CallerLimits>;
  readonly ip?: string;
  readonly seed?: number;
  readonly chooser?: (inner: OrderedChooser) => TargetChooser;
  readonly maxEntryVms?: number;
  readonly runner?: (inner: AttemptRunner) => Pick<AttemptRunner, 'runAttempt'>;
  readonly treatAllAsRepeatable?: boolean;
  readonly protocol?: HttpTargetProtocol;
}

/** Started by `start`; `stop` closes all that it opened. */
export default class ForwardHarness {
  readonly registry = new Registry();

  readonly stopState = new StopState();

  readonly clock = new SystemClock();

  readonly chooser: OrderedChooser;

  readonly server: CallerServer;

  readonly pools: ConnectionPools;

  private readonly agent = new Agent({ connections: 50, headersTimeout: 10_000 });

  constructor(targets: readonly Target[], options: HarnessOptions = {}) {
    const { clock } = this;
    const metrics = new ForwardMetrics(this.registry);
    const logger = new Logger('silent', 'json');
    this.chooser = new OrderedChooser(targets);
    this.pools = new ConnectionPools(clock, metrics);
    const getMaxEntryVms = (): number => options.maxEntryVms ?? 4;
    const stopAdmission = new StopAdmission(this.stopState, clock);
    const runner = new AttemptRunner(
      {
        silenceDetector: new SilenceDetector(clock),
        protocol: options.protocol ?? new HttpTargetProtocol(),
        availability: ALWAYS_AVAILABLE,
        stopAdmission,
        clock,
        metrics,
      },
      this.pools,
      getMaxEntryVms,
    );
    const chooser = options.chooser?.(this.chooser) ?? this.chooser;
    const budget = { recordFirstAttempt: () => undefined, tryAcquireRetry: () => true };
    const permits = new PermitReleaser(clock);
    const random = new Random(options.seed ?? 1);
    const forwarder = new Forwarder({
      chooser,
      runner: options.runner?.(runner) ?? runner,
      budget,
      permits,
      stopAdmission,
      clock,
      random,
      logger,
      metrics,
    });
    const steering = {
      getCurrent: () =>
        some(buildSteering({ ...SERVICE, ...options.service }, options.treatAllAsRepeatable)),
    };
    const entries = {
      listEntries: (service: string, client: string) =>
        right({
          maxAgeSeconds: 5,
          body: Buffer.from(
            JSON.stringify({
              revision: 7,
              maxAgeSeconds: 5,
              entries: [{ address: '127.0.0.1:80', region: service, failureDomain: client }],
            }),
          ),
        }),
    };
    const handler = new CallerHandler(steering, entries, forwarder, this.stopState, clock, metrics);
    const limits = { ...DEFAULT_CALLER_LIMITS, ...options.limits };
    this.server = new CallerServer(options.ip ?? '127.0.9.1', 0, handler, logger, metrics, limits);
  }

  async start(): Promise<void> {
    await this.server.listen();
  }

  async stop(): Promise<void> {
    await this.server.close();
    this.pools.closeIdle();
    await this.agent.destroy();
  }

  /** Sends one request and resolves with its result. */
  async sendRequest(
    id: string,
    path: string,
    options: {
      readonly body?: Buffer | AsyncIterable<Buffer>;
      readonly headers?: Record<string, string>;
      readonly signal?: AbortSignal;
    } = {},
  ): Promise<CallerResult> {
    try {
      const answer = await request(`http://${this.server.getAddress()}${path}`, {
        method: options.body ? 'POST' : 'GET',
        headers: { host: 'ledger.example', 'request-id': id, ...options.headers },
        dispatcher: this.agent,
        ...(options.body ? { body: options.body as Buffer } : {}),
        ...(options.signal ? { signal: options.signal } : {}),
      });
      const body = await answer.body.text();
      const { statusCode: status, headers } = answer;
      const outcome = headers['burdockcove-outcome'];
      if (outcome === undefined) {
        return { _tag: 'Answer', status, headers, body };
      }
      return { _tag: outcome === 'not-run' ? 'NotRun' : 'Unknown', status, body };
    } catch {
      return { _tag: 'Broken' };
    }
  }
}
