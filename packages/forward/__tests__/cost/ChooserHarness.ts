/**
 * A chooser with targets of two slots in two regions and a fake clock.
 */
import { isRight, right, type Either } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import ColdAdmission from '@burdockcove/fleet/ColdAdmission';
import MemberTable from '@burdockcove/fleet/MemberTable';
import StateAge from '@burdockcove/fleet/StateAge';
import TargetAdmission from '@burdockcove/fleet/TargetAdmission';
import TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import WarmthEvidence from '@burdockcove/fleet/WarmthEvidence';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import AffinityChooser from '../../src/affinity/AffinityChooser.js';
import type AffinityDescription from '../../src/affinity/AffinityDescription.js';
import type Choice from '../../src/Choice.js';
import type ChoiceRequest from '../../src/ChoiceRequest.js';
import ForwardMetrics from '../../src/ForwardMetrics.js';
import buildChoiceRequest from '../__fixtures__/buildChoiceRequest.js';
import SERVICE from '../__fixtures__/SERVICE.js';

const SLOTS = 2;
const DEADLINE_MS = 4000;
const COLD_LIMITS = { ratePerS: 2, burst: 3 };
const SELF = { name: 'vm', address: '127.0.0.1:1', region: 'north', failureDomain: 'a' };

interface HarnessOptions {
  readonly learnsWork?: boolean;
  readonly targets?: number;
  readonly coldMs?: number;
}

/** The state of the store is always fresh. */
export default class ChooserHarness {
  readonly clock = new FakeClock();

  /** Expected over actual times that the chooser has reported. */
  readonly ratios: number[] = [];

  readonly catalogue = new TargetCatalogue(this.clock, () => 3000);

  private readonly stateAge = new StateAge(this.clock);

  readonly chooser: AffinityChooser;

  constructor({ learnsWork, targets = 6, coldMs = 0 }: HarnessOptions = {}) {
    const { clock, catalogue, stateAge } = this;
    this.keepConfirmed();
    this.chooser = new AffinityChooser({
      clock,
      random: new Random(1),
      catalogue,
      admission: this.buildAdmission(),
      getRoundTripMs: (region) => (region === 'north' ? 1 : 40),
      ownRegion: SELF.region,
      countEntryVms: () => 1,
      stateAge,
      metrics: new ForwardMetrics(new Registry()),
      recordEstimate: (_service, ratio) => this.ratios.push(ratio),
      ...(learnsWork === undefined ? {} : { learnsWork }),
    });
    for (let index = 0; index < targets; index += 1) {
      this.addTarget(index % 2 === 0 ? `n${index}` : `s${index}`, coldMs);
    }
  }

  choose(
    affinityKey: string | undefined,
    regions?: readonly string[],
  ): Promise<Either<RequestFailure, Choice>> {
    return this.chooser.chooseTarget(this.buildRequest(affinityKey, regions));
  }

  /** Describes what `choose` would do. */
  describe(affinityKey: string | undefined, regions?: readonly string[]): AffinityDescription {
    return this.chooser.describer.describe(this.buildRequest(affinityKey, regions));
  }

  buildRequest(
    affinityKey: string | undefined,
    regions: readonly string[] = ['north', 'south'],
  ): ChoiceRequest {
    const request = buildChoiceRequest(this.clock.getMonotonicMs(), DEADLINE_MS, {
      service: { ...SERVICE, targetLatencyMs: 600, priority: 1 },
      affinityKey,
    });
    const allowed = regions.map((region) => ({ region, oneWayMs: 0, targets: [] }));
    return { ...request, plan: { ...request.plan, regions: allowed } };
  }

  /** Returns the name of the target, `refused`, or `waits` while the request is queued. */
  async chooseWithoutWaiting(
    affinityKey: string | undefined,
    regions?: readonly string[],
  ): Promise<string> {
    const waits = new Promise<null>((resolve) => {
      setImmediate(() => resolve(null));
    });
    const choice = await Promise.race([this.choose(affinityKey, regions), waits]);
    if (choice === null) {
      return 'waits';
    }
    return isRight(choice) ? choice.right.target.name : 'refused';
  }

  private addTarget(name: string, coldMs: number): void {
    const address = `${name}:1`;
    const target = { name, service: 'desk', address, failureDomain: name, slots: SLOTS };
    this.catalogue.putTarget({
      target: { ...target, labels: {} },
      region: name.startsWith('n') ? 'north' : 'south',
      isLeaving: false,
      startedAtMs: -1_000_000,
      coldMs,
    });
  }

  private buildAdmission(): TargetAdmission {
    const { clock, catalogue, stateAge } = this;
    return new TargetAdmission({
      clock,
      logger: new Logger('silent', 'json'),
      catalogue,
      cold: new ColdAdmission(clock, new MemberTable(clock, SELF), () => COLD_LIMITS),
      evidence: new WarmthEvidence(clock, stateAge),
      reader: {
        readStatus:
          ({ name }) =>
          async () =>
            right({ name, coldMs: 0, isLeaving: false }),
      },
      recordCheck: () => undefined,
    });
  }

  private keepConfirmed(): void {
    this.stateAge.recordConfirmed();
    this.clock.startTimer(1000, () => this.keepConfirmed());
  }
}
