/**
 * Entry VMs that share a target's slots without talking to each other.
 */
import { expect } from 'chai';
import ConcurrencyWindow from '../../src/affinity/ConcurrencyWindow.js';

const SLOTS = 3;
const WORK_MS = 300;
const TICK_MS = 10;

interface Running {
  readonly vm: number;
  leftMs: number;
}

/** A target with slots and a queue; each VM sends whenever its window has room. */
function runFleet(vms: number, durationMs: number): { queue: number[]; busy: number[] } {
  const windows = Array.from({ length: vms }, () => new ConcurrencyWindow(SLOTS));
  const inFlight = windows.map(() => 0);
  const requests: Running[] = [];
  const queue: number[] = [];
  const busy: number[] = [];
  for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
    requests.slice(0, SLOTS).forEach((request) => {
      request.leftMs -= TICK_MS;
    });
    for (const done of requests.filter(({ leftMs }) => leftMs <= 0)) {
      requests.splice(requests.indexOf(done), 1);
      inFlight[done.vm] = (inFlight[done.vm] ?? 0) - 1;
      windows[done.vm]?.recordReport(requests.length - SLOTS, WORK_MS, nowMs);
    }
    windows.forEach((window, vm) => {
      if (window.hasRoom(inFlight[vm] ?? 0, WORK_MS, 0, nowMs)) {
        window.recordSent(nowMs);
        inFlight[vm] = (inFlight[vm] ?? 0) + 1;
        requests.push({ vm, leftMs: WORK_MS });
      }
    });
    queue.push(Math.max(0, requests.length - SLOTS));
    busy.push(Math.min(SLOTS, requests.length));
  }
  return { queue, busy };
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe('ConcurrencyWindow: demand without end on one target', () => {
  [1, 3, 9].forEach((vms) => {
    it(`keeps the slots busy and the queue shorter than two rounds with ${vms} VMs`, () => {
      const { queue, busy } = runFleet(vms, 20_000);
      const settled = queue.length / 4;
      expect(computeMean(busy.slice(settled))).to.be.above(SLOTS * 0.9);
      expect(computeMean(queue.slice(settled))).to.be.below(SLOTS * 2);
    });
  });

  it('grants urgent requests one more', () => {
    const window = new ConcurrencyWindow(1);
    expect(window.hasRoom(1, WORK_MS, 0, 0)).to.equal(false);
    expect(window.hasRoom(1, WORK_MS, 1, 0)).to.equal(true);
  });

  it('pauses between requests where the target refuses again and again', () => {
    const window = new ConcurrencyWindow(1);
    [0, 1000, 2000, 3000].forEach((nowMs) => window.recordShed(WORK_MS, nowMs));
    window.recordSent(3000);
    expect(window.hasRoom(0, WORK_MS, 0, 3000 + WORK_MS)).to.equal(false);
    expect(window.hasRoom(0, WORK_MS, 0, 3000 + WORK_MS * 4)).to.equal(true);
  });
});
