/**
 * Several entry VMs that share a target's slots without coordination.
 */
import { expect } from 'chai';
import AdaptiveConcurrencyLimit from '../../src/affinity/AdaptiveConcurrencyLimit.js';

const SLOTS = 3;
const WORK_MS = 300;
const TICK_MS = 10;

interface RunningRequest {
  readonly vm: number;
  remainingMs: number;
}

/** Simulates a target with slots and a queue, to which each VM sends as many requests as its limit allows. */
function runFleet(vms: number, durationMs: number): { queue: number[]; busy: number[] } {
  const limits = Array.from({ length: vms }, () => new AdaptiveConcurrencyLimit(SLOTS));
  const inFlight = limits.map(() => 0);
  const requests: RunningRequest[] = [];
  const queue: number[] = [];
  const busy: number[] = [];
  for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
    requests.slice(0, SLOTS).forEach((request) => {
      request.remainingMs -= TICK_MS;
    });
    for (const done of requests.filter(({ remainingMs }) => remainingMs <= 0)) {
      requests.splice(requests.indexOf(done), 1);
      inFlight[done.vm] = (inFlight[done.vm] ?? 0) - 1;
      limits[done.vm]?.recordReport(requests.length - SLOTS, WORK_MS, nowMs);
    }
    limits.forEach((limit, vm) => {
      if (limit.hasCapacity(inFlight[vm] ?? 0, WORK_MS, 0, nowMs)) {
        limit.recordSent(nowMs);
        inFlight[vm] = (inFlight[vm] ?? 0) + 1;
        requests.push({ vm, remainingMs: WORK_MS });
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

describe('AdaptiveConcurrencyLimit: unlimited demand on one target', () => {
  [1, 3, 9].forEach((vms) => {
    it(`keeps the slots busy and the queue below twice the slots with ${vms} VMs`, () => {
      const { queue, busy } = runFleet(vms, 20_000);
      const settled = queue.length / 4;
      expect(computeMean(busy.slice(settled))).to.be.above(SLOTS * 0.9);
      expect(computeMean(queue.slice(settled))).to.be.below(SLOTS * 2);
    });
  });

  it('allows one extra request where the caller asks for it', () => {
    const limit = new AdaptiveConcurrencyLimit(1);
    expect(limit.hasCapacity(1, WORK_MS, 0, 0)).to.equal(false);
    expect(limit.hasCapacity(1, WORK_MS, 1, 0)).to.equal(true);
  });

  it('spaces requests in time after the target has shed several in a row', () => {
    const limit = new AdaptiveConcurrencyLimit(1);
    [0, 1000, 2000, 3000].forEach((nowMs) => limit.recordShed(WORK_MS, nowMs));
    limit.recordSent(3000);
    expect(limit.hasCapacity(0, WORK_MS, 0, 3000 + WORK_MS)).to.equal(false);
    expect(limit.hasCapacity(0, WORK_MS, 0, 3000 + WORK_MS * 4)).to.equal(true);
  });
});
