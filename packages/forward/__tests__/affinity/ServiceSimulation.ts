/**
 * One entry VM's choices among the targets of one service, in virtual time and without network.
 */
import { isLeft, right } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import ColdAdmission from '@burdockcove/fleet/ColdAdmission';
import MemberTable from '@burdockcove/fleet/MemberTable';
import NoticeRecorder from '@burdockcove/fleet/NoticeRecorder';
import StateAge from '@burdockcove/fleet/StateAge';
import TargetAdmission from '@burdockcove/fleet/TargetAdmission';
import TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import WarmthEvidence from '@burdockcove/fleet/WarmthEvidence';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import ForwardMetrics from '../../src/ForwardMetrics.js';
import AffinityChooser from '../../src/affinity/AffinityChooser.js';
import buildChoiceRequest from '../__fixtures__/buildChoiceRequest.js';
import SERVICE from '../__fixtures__/SERVICE.js';
import SimulatedTarget from './SimulatedTarget.js';

const STEP_MS = 5;
const MS_PER_SECOND = 1000;
const OBJECTS = 40;
const DEADLINE_MS = 4000;
const SELF = { name: 'vm', address: '127.0.0.1:1', region: 'north', failureDomain: 'a' };

interface Outcome {
  readonly requestedAtMs: number;
  readonly endedAtMs: number;
  readonly isServed: boolean;
  /** Time after which a refused caller may return; NaN if the request was served. */
  readonly retryAfterMs: number;
}

interface SimulationOptions {
  readonly slots: number;
  readonly serviceMs: number;
  readonly coldRatePerS: number;
  readonly coldMs: number;
}

/** Requests arrive at random; targets respond after the service time. */
export default class ServiceSimulation {
  readonly clock = new FakeClock();

  readonly catalogue: TargetCatalogue;

  readonly targets = new Map<string, SimulatedTarget>();

  readonly outcomes: Outcome[] = [];

  private readonly stateAge = new StateAge(this.clock);

  private readonly recorder: NoticeRecorder;

  private readonly chooser: AffinityChooser;

  private readonly random = new Random(7);

  constructor(private readonly options: SimulationOptions) {
    const { clock, stateAge } = this;
    const logger = new Logger('silent', 'json');
    this.catalogue = new TargetCatalogue(clock, () => options.coldMs);
    const { catalogue } = this;
    this.recorder = new NoticeRecorder(catalogue, logger, () => undefined);
    const admission = new TargetAdmission({
      clock,
      logger,
      catalogue,
      cold: new ColdAdmission(clock, new MemberTable(clock, SELF), () => ({
        ratePerS: options.coldRatePerS,
        burst: options.coldRatePerS * 1.5 + 5,
      })),
      evidence: new WarmthEvidence(clock, stateAge),
      reader: {
        readStatus:
          ({ name }) =>
          async () =>
            this.answerCheck(name),
      },
      recordCheck: () => undefined,
    });
    this.chooser = new AffinityChooser({
      clock,
      random: new Random(1),
      catalogue,
      admission,
      getRoundTripMs: () => 1,
      ownRegion: SELF.region,
      countEntryVms: () => 1,
      stateAge,
      metrics: new ForwardMetrics(new Registry()),
    });
  }

  /** Adds a target; `coldMs` is its remaining cold time. */
  addTarget(name: string, coldMs = 0): SimulatedTarget {
    const { slots } = this.options;
    const address = `${name}:1`;
    const target = { name, service: 'desk', address, failureDomain: 'a', slots, labels: {} };
    const added = new SimulatedTarget(target);
    this.targets.set(name, added);
    const startedAtMs = coldMs > 0 ? this.clock.getWallMs() : -1_000_000;
    const record = { target, region: SELF.region, isLeaving: false, startedAtMs, coldMs };
    this.catalogue.putTarget(record);
    return added;
  }

  /** Sends requests at the given rate; `perStep` is called with the seconds since the start of the run. */
  async run(
    seconds: number,
    demandPerS: number,
    perStep: (second: number) => void = () => undefined,
  ): Promise<void> {
    for (let passedMs = 0; passedMs < seconds * MS_PER_SECOND; passedMs += STEP_MS) {
      this.stateAge.recordConfirmed();
      perStep(passedMs / MS_PER_SECOND);
      if (this.random.nextFloat() < (demandPerS * STEP_MS) / MS_PER_SECOND) {
        this.sendRequest().catch(() => undefined);
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** Returns the served share of the requests that came in the span, in seconds. */
  computeServedShare(fromS: number, toS: number): number {
    const came = this.outcomes.filter(
      ({ requestedAtMs }) =>
        requestedAtMs >= fromS * MS_PER_SECOND && requestedAtMs < toS * MS_PER_SECOND,
    );
    return came.filter(({ isServed }) => isServed).length / came.length;
  }

  private async sendRequest(): Promise<void> {
    const requestedAtMs = this.clock.getMonotonicMs();
    const request = buildChoiceRequest(requestedAtMs, DEADLINE_MS, {
      service: { ...SERVICE, targetLatencyMs: 600, priority: 1 },
      affinityKey: `object-${this.random.nextInt(OBJECTS)}`,
    });
    const regions = [{ region: SELF.region, oneWayMs: 0, targets: [] }];
    const choice = await this.chooser.chooseTarget({
      ...request,
      plan: { ...request.plan, regions },
    });
    if (isLeft(choice)) {
      const { left: failure } = choice;
      const retryAfterMs = 'retryAfterMs' in failure ? (failure.retryAfterMs ?? NaN) : NaN;
      this.recordOutcome(requestedAtMs, false, retryAfterMs);
      return;
    }
    const { target, reportResult } = choice.right;
    this.handleRequest(this.targets.get(target.name) as SimulatedTarget, (isServed) => {
      const ended = isServed ? 'answered' : 'shed';
      const latencyMs = this.clock.getMonotonicMs() - requestedAtMs;
      reportResult({ ended, status: isServed ? 200 : 503, latencyMs });
      this.recordOutcome(requestedAtMs, isServed, NaN);
    });
  }

  private handleRequest(simulated: SimulatedTarget, respond: (isServed: boolean) => void): void {
    const { slots, serviceMs } = this.options;
    const isShed = simulated.isShedding || simulated.inFlight >= 2 * slots;
    const waitMs = simulated.addRequest(this.clock.getMonotonicMs(), serviceMs);
    this.clock.startTimer(isShed ? 1 : serviceMs + waitMs, () => {
      const notice = simulated.respond(this.clock.getMonotonicMs());
      this.recorder.recordNotice(simulated.target, notice);
      respond(!isShed);
    });
  }

  private answerCheck(name: string) {
    const isLeaving = this.targets.get(name)?.notice.isLeaving ?? false;
    return right({ name, coldMs: 0, isLeaving });
  }

  private recordOutcome(requestedAtMs: number, isServed: boolean, retryAfterMs: number): void {
    const endedAtMs = this.clock.getMonotonicMs();
    this.outcomes.push({ requestedAtMs, endedAtMs, isServed, retryAfterMs });
  }
}
