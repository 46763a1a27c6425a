/**
 * The network between virtual processes and the store.
 */
import type Random from '@burdockcove/runtime/Random';
import type VirtualTime from './VirtualTime.js';

/** Name of the store among the network's ends. */
const STORE = 'store';

interface NetworkLimits {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  /** Share of the messages lost, 0 to 1. */
  readonly lossShare: number;
}

/** Messages are delayed at random, so they overtake each other; some are lost. */
export default class VirtualNetwork {
  private readonly cut = new Set<string>();

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly limits: NetworkLimits,
  ) {}

  /** Lets nothing through between the two ends, both ways. */
  cutBetween(a: string, b: string): void {
    this.cut.add(VirtualNetwork.buildKey(a, b));
  }

  cutFromStore(address: string): void {
    this.cutBetween(address, STORE);
  }

  mendBetween(a: string, b: string): void {
    this.cut.delete(VirtualNetwork.buildKey(a, b));
  }

  mendToStore(address: string): void {
    this.mendBetween(address, STORE);
  }

  mendAll(): void {
    this.cut.clear();
  }

  isCut(a: string, b: string): boolean {
    return this.cut.has(VirtualNetwork.buildKey(a, b));
  }

  isCutFromStore(address: string): boolean {
    return this.isCut(address, STORE);
  }

  /** Calls the function after the delay, or never. */
  carry(from: string, to: string, arrive: () => void): void {
    const { minDelayMs, maxDelayMs, lossShare } = this.limits;
    const delayMs = minDelayMs + this.random.nextFloat() * (maxDelayMs - minDelayMs);
    if (this.random.nextFloat() >= lossShare && !this.isCut(from, to)) {
      this.time.schedule(delayMs, arrive);
    }
  }

  carryToStore(from: string, arrive: () => void): void {
    this.carry(from, STORE, arrive);
  }

  carryFromStore(to: string, arrive: () => void): void {
    this.carry(STORE, to, arrive);
  }

  private static buildKey(a: string, b: string): string {
    return a < b ? `${a} ${b}` : `${b} ${a}`;
  }
}
