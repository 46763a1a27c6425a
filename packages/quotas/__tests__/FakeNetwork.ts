/**
 * What the VMs of a simulation share: the store's registrations and the links.
 */
import type FleetMember from '@burdockcove/fleet/FleetMember';
import type Random from '@burdockcove/runtime/Random';
import type VirtualTime from './VirtualTime.js';

const MAX_DELAY_MS = 20;
const MAX_SLOW_MS = 400;

interface Registration {
  readonly member: FleetMember;
  readonly untilMs: number;
  /** Time of day that the value of the registration holds. */
  readonly registeredAtMs: number;
}

/** A registration exists until its lease ends. */
export default class FakeNetwork {
  readonly registered = new Map<string, Registration>();

  private lostShare = 0;

  private slowShare = 0;

  /** Whether a message between two names passes; the store's name is `store`. */
  canPass: (from: string, to: string) => boolean = () => true;

  constructor(
    readonly time: VirtualTime,
    readonly random: Random,
  ) {}

  /** Delivers a message after a delay, or never. */
  send(from: string, to: string, deliver: () => void): void {
    const isLost = this.random.nextFloat() < this.lostShare;
    const isSlow = this.random.nextFloat() < this.slowShare;
    const delayMs = 1 + this.random.nextFloat() * (isSlow ? MAX_SLOW_MS : MAX_DELAY_MS);
    this.time.startTimer(delayMs, () => {
      if (!isLost && this.canPass(from, to)) {
        deliver();
      }
    });
  }

  listRegistered(): readonly FleetMember[] {
    this.expireLeases();
    return [...this.registered.values()].map(({ member }) => member);
  }

  expireLeases(): void {
    [...this.registered]
      .filter(([, { untilMs }]) => untilMs <= this.time.nowMs)
      .forEach(([name]) => this.registered.delete(name));
  }

  /** Sets the shares of messages that are lost and that are slow. */
  setQuality(lostShare: number, slowShare: number): void {
    this.lostShare = lostShare;
    this.slowShare = slowShare;
  }
}
