/**
 * Slot ledger for an entry VM that shares its slots with no other VM.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type SlotPermit from '@burdockcove/types/SlotPermit';

/** This VM owns every slot of every listed target. */
export default class FixedSlotLedger implements SlotLedger {
  private readonly inUse = new Map<string, number>();

  private readonly listeners = new Set<() => void>();

  constructor(private readonly slots: ReadonlyMap<string, number>) {}

  countFree(target: string): number {
    return (this.slots.get(target) ?? 0) - (this.inUse.get(target) ?? 0);
  }

  takeSlot(target: string): Option<SlotPermit> {
    if (this.countFree(target) <= 0) {
      return none;
    }
    this.addInUse(target, 1);
    let isHeld = true;
    const release = (): void => {
      if (isHeld) {
        isHeld = false;
        this.addInUse(target, -1);
        this.listeners.forEach((listener) => listener());
      }
    };
    return some({ target, release });
  }

  requestSlots(): void {
    // No other VM owns slots.
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private addInUse(target: string, change: number): void {
    this.inUse.set(target, (this.inUse.get(target) ?? 0) + change);
  }
}
