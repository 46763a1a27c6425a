/**
 * Guards against FAILBACK: entry VMs without the store send at the rate of warm targets to targets that are cold.
 */
import { expect } from 'chai';
import AdmissionFleet from './AdmissionFleet.js';

const COLD_RATE_PER_S = 11;
/** What the target can handle in one second while it is cold. */
const BOUND = COLD_RATE_PER_S * 1.5 + 5;
const COLD_MS = 3000;
const OPTIONS = { vms: 12, coldRatePerS: COLD_RATE_PER_S, demandPerS: 51, checkMs: 40 };

/** Takes the store from the first `count` VMs. */
function cutOff(fleet: AdmissionFleet, count: number): void {
  fleet.vms.slice(0, count).forEach((vm) => {
    Object.assign(vm, { isInTouch: false });
  });
}

describe('A target that becomes cold while entry VMs cannot read the store', () => {
  it('is not flooded after an evacuation that most VMs have not seen, under a burst', async () => {
    const fleet = new AdmissionFleet(OPTIONS);
    await fleet.run(12, (second) => {
      const { clock, vms } = fleet;
      if (second === 1) {
        cutOff(fleet, 7);
      }
      vms
        .filter(({ isInTouch }) => isInTouch)
        .forEach(({ catalogue }) => catalogue.setEvacuated('a', second >= 1.5 && second < 6.2));
      if (second === 5) {
        fleet.coldUntilMs = clock.getMonotonicMs() + COLD_MS;
      }
    });
    expect(fleet.measureBurst(5, 7)).to.be.within(1, BOUND);
    expect(fleet.measureBurst(10, 11)).to.be.greaterThan(BOUND);
  });

  it('is not flooded when no VM reaches the store, and is used at once when it is warm again', async () => {
    const fleet = new AdmissionFleet(OPTIONS);
    await fleet.run(12, (second) => {
      if (second === 1) {
        cutOff(fleet, 12);
      }
      if (second === 6) {
        fleet.coldUntilMs = fleet.clock.getMonotonicMs() + COLD_MS;
      }
    });
    expect(fleet.measureBurst(6, 8)).to.be.within(1, BOUND);
    expect(fleet.measureBurst(9.2, 11)).to.be.greaterThan(BOUND);
  });

  it('is not flooded by VMs whose health checks get no answer either', async () => {
    const fleet = new AdmissionFleet(OPTIONS);
    fleet.vms.forEach((vm) => {
      Object.assign(vm, { canCheck: false });
    });
    await fleet.run(10, (second) => second === 1 && cutOff(fleet, 12));
    expect(fleet.measureBurst(5, 9)).to.be.within(COLD_RATE_PER_S / 2, BOUND);
  });

  it('gets most of the requests of VMs without the store while it is warm', async () => {
    const fleet = new AdmissionFleet(OPTIONS);
    await fleet.run(15, (second) => second === 1 && cutOff(fleet, 12));
    const served = fleet.sentAtMs.filter((at) => at >= 5000).length / (10 * OPTIONS.demandPerS);
    expect(served).to.be.at.least(0.7);
  });

  it('is checked only by VMs that cannot read the store', async () => {
    const fleet = new AdmissionFleet(OPTIONS);
    await fleet.run(8);
    expect(fleet.checks).to.equal(0);
  });

  it('is not flooded when it restarts behind a single failed request of each VM', async () => {
    const fleet = new AdmissionFleet(OPTIONS);
    await fleet.run(8, (second) => {
      if (second === 3) {
        fleet.coldUntilMs = fleet.clock.getMonotonicMs() + COLD_MS;
        fleet.vms.forEach((vm) => {
          const known = fleet.findTarget(vm);
          if (known !== undefined) {
            vm.admission.recordFailure(known);
          }
        });
      }
    });
    expect(fleet.measureBurst(3, 5)).to.be.within(1, BOUND);
    expect(fleet.measureBurst(6.2, 7)).to.be.greaterThan(BOUND);
  });
});
