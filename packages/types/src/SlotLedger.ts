/**
 * The slots at targets that this entry VM may use now.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type SlotPermit from './SlotPermit.js';

/** Implementations guarantee that the permits of all entry VMs never exceed a target's slots. */
interface SlotLedger {
  /** Slots at the target that could be taken now. */
  countFree(target: string): number;
  /** Takes a slot at the target, or none where no slot is free. */
  takeSlot(target: string): Option<SlotPermit>;
  /** Reports how many requests wait for a slot at any of the targets, so that more can be borrowed. */
  requestSlots(targets: readonly string[], waiting: number): void;
  /** Calls the listener whenever a slot may have become free; returns the way to stop. */
  subscribe(listener: () => void): () => void;
}

export default SlotLedger;
