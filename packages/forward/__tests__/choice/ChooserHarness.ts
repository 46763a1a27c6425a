/**
 * Test harness: a target chooser with a fake clock, fixed slots and an optional fake link.
 */
import { Registry } from 'prom-client';
import { isRight, type Either } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import FixedSlotLedger from '@burdockcove/shares/FixedSlotLedger';
import type LinkBudget from '@burdockcove/types/LinkBudget';
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';
import type Target from '@burdockcove/types/Target';
import type AttemptResult from '../../src/AttemptResult.js';
import type Choice from '../../src/Choice.js';
import type ChoiceRequest from '../../src/ChoiceRequest.js';
import buildTargetChooser from '../../src/choice/buildTargetChooser.js';
import type LoadSource from '../../src/health/LoadSource.js';
import NoopLoadSource from '../../src/health/NoopLoadSource.js';
import buildChoiceRequest from '../__fixtures__/buildChoiceRequest.js';

interface RegionSpec {
  readonly region: string;
  readonly targets: number;
  readonly slots: number;
  readonly oneWayMs: number;
}

interface TestOptions {
  readonly regions?: readonly RegionSpec[];
  readonly service?: Partial<Service>;
  readonly loads?: LoadSource;
  readonly link?: LinkBudget;
  readonly seed?: number;
}

const SERVICE: Service = {
  name: 'desk',
  match: [],
  objective: 'latency',
  billed: false,
  operations: [],
  deadlineMs: 10_000,
  maxRequestsPerVm: 1_000,
  maxQueuePerVm: 100,
  retryBudget: 0.1,
  connectionsPerTarget: 100,
  expectedAnswerBytes: 1_000,
};

const UNLIMITED_LINK: LinkBudget = {
  reserveBytes: () => true,
  settleBytes: () => undefined,
  estimateWaitMs: () => 0,
};

function buildTarget(region: string, index: number, slots: number): Target {
  const name = `${region}-${String(index)}`;
  return {
    name,
    service: 'desk',
    address: `${name}:80`,
    failureDomain: `${region}-a`,
    slots,
    labels: {},
  };
}

/** Names targets `REGION-INDEX`; the first region is this VM's own. */
export default class ChooserHarness {
  readonly clock = new FakeClock();

  readonly registry = new Registry();

  readonly leaving = new Set<string>();

  readonly regions: readonly RegionCandidates[];

  readonly ledger: FixedSlotLedger;

  readonly service: Service;

  readonly chooser;

  constructor(options: TestOptions = {}) {
    const specs = options.regions ?? [{ region: 'near', targets: 4, slots: 2, oneWayMs: 0 }];
    this.regions = specs.map(({ region, targets, slots, oneWayMs }) => ({
      region,
      oneWayMs,
      targets: Array.from({ length: targets }, (_, index) => buildTarget(region, index, slots)),
    }));
    const all = this.regions.flatMap(({ targets }) => targets);
    this.ledger = new FixedSlotLedger(new Map(all.map(({ name, slots }) => [name, slots])));
    this.service = { ...SERVICE, ...options.service };
    this.chooser = buildTargetChooser({
      clock: this.clock,
      random: new Random(options.seed ?? 1),
      logger: new Logger('silent', 'json'),
      registry: this.registry,
      ledger: this.ledger,
      link: options.link ?? UNLIMITED_LINK,
      leaving: { isLeaving: ({ name }) => this.leaving.has(name) },
      loads: options.loads ?? new NoopLoadSource(),
      selfRegion: specs[0]?.region ?? '',
    });
  }

  get plan(): RoutePlan {
    return {
      selector: '',
      clientRegion: '',
      routeIndex: 0,
      targetService: '',
      regions: this.regions,
    };
  }

  /** Requests a target; `changes` replaces fields of the request. */
  requestTarget(changes: Partial<ChoiceRequest> = {}): Promise<Either<RequestFailure, Choice>> {
    const { service, plan } = this;
    const fields = { service, plan, member: 'a', ...changes };
    return this.chooser.chooseTarget(
      buildChoiceRequest(this.clock.getMonotonicMs(), 10_000, fields),
    );
  }

  /** Requests a target; throws if the request is refused. */
  async chooseTarget(changes: Partial<ChoiceRequest> = {}): Promise<Choice> {
    const answer = await this.requestTarget(changes);
    if (!isRight(answer)) {
      throw new Error(`refused: ${JSON.stringify(answer.left)}`);
    }
    return answer.right;
  }

  /** Ends an exchange after `latencyMs` of fake time. */
  async endExchange(choice: Choice, result: Partial<AttemptResult> = {}): Promise<void> {
    const latencyMs = result.latencyMs ?? 10;
    await this.clock.advance(latencyMs);
    choice.permit.release();
    choice.reportResult({ ended: 'answered', status: 200, latencyMs, ...result });
  }

  /** Returns the value of a metric with these labels; zero if it was never set. */
  async readMetric(name: string, labels: Readonly<Record<string, string>>): Promise<number> {
    const metric = await this.registry.getSingleMetric(name)?.get();
    const match = metric?.values.find((value) =>
      Object.entries(labels).every(([label, expected]) => value.labels[label] === expected),
    );
    return match?.value ?? 0;
  }
}
