/**
 * A fleet of entry VMs that send to one target, in virtual time and without network.
 */
import { right } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import ColdAdmission from '../src/ColdAdmission.js';
import type KnownTarget from '../src/KnownTarget.js';
import MemberTable from '../src/MemberTable.js';
import StateAge from '../src/StateAge.js';
import TargetAdmission from '../src/TargetAdmission.js';
import TargetCatalogue from '../src/TargetCatalogue.js';
import WarmthEvidence from '../src/WarmthEvidence.js';
import buildTargetRecord from './buildTargetRecord.js';

const STEP_MS = 10;
const MS_PER_SECOND = 1000;
const COLD_MS = 3000;
const TARGET = 't1';
/** Longer than any test. */
const NEVER_MS = 3_600_000;

/** One VM, with what the rules of admission need. */
interface AdmissionVm {
  readonly catalogue: TargetCatalogue;
  readonly stateAge: StateAge;
  readonly admission: TargetAdmission;
  /** Whether the store responds to this VM. */
  isInTouch: boolean;
  /** Whether this VM's health checks reach the target. */
  canCheck: boolean;
}

interface FleetOptions {
  readonly vms: number;
  readonly coldRatePerS: number;
  /** Requests a second for the target, of all VMs together. */
  readonly demandPerS: number;
  /** Milliseconds until a health check is answered. */
  readonly checkMs: number;
}

/** Counts the requests that the target gets, and the health checks. */
export default class AdmissionFleet {
  readonly clock = new FakeClock();

  readonly vms: readonly AdmissionVm[];

  readonly sentAtMs: number[] = [];

  checks = 0;

  /** Monotonic time until which the target is cold. */
  coldUntilMs = -Infinity;

  private readonly random = new Random(1);

  constructor(private readonly options: FleetOptions) {
    const members = Array.from({ length: options.vms }, (_, index) => ({
      name: `vm-${index}`,
      address: `127.0.0.${index}:1`,
      region: 'north',
      failureDomain: 'a',
    }));
    this.vms = members.map((self) => {
      const table = new MemberTable(this.clock, self);
      table.replaceMembers(members);
      return this.buildVm(table);
    });
  }

  /** Lets the VMs send for the given time; each step, `perStep` is called before they do. */
  async run(seconds: number, perStep: (second: number) => void = () => undefined): Promise<void> {
    const { demandPerS, vms } = this.options;
    const probability = ((demandPerS / vms) * STEP_MS) / MS_PER_SECOND;
    for (let step = 0; step < (seconds * MS_PER_SECOND) / STEP_MS; step += 1) {
      perStep((step * STEP_MS) / MS_PER_SECOND);
      this.vms
        .filter(({ isInTouch }) => isInTouch)
        .forEach(({ stateAge }) => stateAge.recordConfirmed());
      this.vms
        .filter(() => this.random.nextFloat() < probability)
        .forEach((vm) => this.trySend(vm));
      await this.clock.advance(STEP_MS);
    }
  }

  /** Returns the highest number of requests within any second that begins in the given span, in seconds. */
  measureBurst(fromS: number, toS: number): number {
    const starts = this.sentAtMs.filter(
      (at) => at >= fromS * MS_PER_SECOND && at < toS * MS_PER_SECOND,
    );
    return Math.max(
      0,
      ...starts.map(
        (from) => this.sentAtMs.filter((at) => at >= from && at < from + MS_PER_SECOND).length,
      ),
    );
  }

  findTarget({ catalogue }: AdmissionVm): KnownTarget | undefined {
    return catalogue.findUsable(TARGET);
  }

  private trySend(vm: AdmissionVm): void {
    const known = this.findTarget(vm);
    if (known !== undefined && vm.admission.tryAdmit(known)) {
      const sentAtMs = this.clock.getMonotonicMs();
      vm.admission.recordSent(known);
      this.sentAtMs.push(sentAtMs);
      this.clock.startTimer(this.options.checkMs, () =>
        vm.admission.recordResponse(known, sentAtMs),
      );
    }
  }

  private buildVm(table: MemberTable): AdmissionVm {
    const { clock, options } = this;
    const catalogue = new TargetCatalogue(clock, () => COLD_MS);
    const stateAge = new StateAge(clock);
    catalogue.putTarget(buildTargetRecord(TARGET));
    const vm = { isInTouch: true, canCheck: true };
    const admission = new TargetAdmission({
      clock,
      logger: new Logger('silent', 'json'),
      catalogue,
      cold: new ColdAdmission(clock, table, () => ({
        ratePerS: options.coldRatePerS,
        burst: options.coldRatePerS * 1.5 + 5,
      })),
      evidence: new WarmthEvidence(clock, stateAge),
      reader: { readStatus: () => () => this.answerCheck(vm) },
      recordCheck: () => undefined,
    });
    return Object.assign(vm, { catalogue, stateAge, admission });
  }

  private async answerCheck({ canCheck }: Pick<AdmissionVm, 'canCheck'>) {
    this.checks += 1;
    await waitFor(this.clock, canCheck ? this.options.checkMs : NEVER_MS);
    const coldMs = Math.max(0, this.coldUntilMs - this.clock.getMonotonicMs());
    return right({ name: TARGET, coldMs, isLeaving: false });
  }
}
