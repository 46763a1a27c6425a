/**
 * The usable targets of one service, numbered so that orders of them can be kept in few bytes.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';

function isSameCandidate(a: KnownTarget | undefined, b: KnownTarget): boolean {
  return a !== undefined && a.region === b.region && a.target.slots === b.target.slots;
}

/** Stays valid while what is known of the targets changes, but not which targets there are. */
export default class TargetSet {
  private readonly numbers = new Map<string, number>();

  private readonly known: KnownTarget[];

  constructor(private listed: readonly KnownTarget[]) {
    this.known = [...listed];
    listed.forEach(({ target }, number) => this.numbers.set(target.name, number));
  }

  get size(): number {
    return this.known.length;
  }

  /** Returns what is known of the targets, by their numbers. */
  listKnown(): readonly KnownTarget[] {
    return this.known;
  }

  /** Whether the list holds the same targets; if so, takes over what it knows of them. */
  update(listed: readonly KnownTarget[]): boolean {
    if (listed === this.listed) {
      return true;
    }
    if (!this.isSame(listed)) {
      return false;
    }
    listed.forEach((known, index) => {
      this.known[this.findNumber(known, index)] = known;
    });
    this.listed = listed;
    return true;
  }

  /** Packs numbers of targets into few bytes. */
  encode(numbers: readonly number[]): Uint16Array | Uint32Array {
    return this.size <= 2 ** 16 ? Uint16Array.from(numbers) : Uint32Array.from(numbers);
  }

  /** Returns what is known of the target with the number. */
  getTarget(number: number): KnownTarget | undefined {
    return this.known[number];
  }

  private isSame(listed: readonly KnownTarget[]): boolean {
    return (
      listed.length === this.known.length &&
      listed.every((known, index) => {
        const former = this.known[index];
        return (
          former === known || isSameCandidate(this.known[this.findNumber(known, index)], known)
        );
      })
    );
  }

  /** Returns the number of the target, -1 if there is none; usually its place in the list. */
  private findNumber({ target }: KnownTarget, index: number): number {
    return this.known[index]?.target.name === target.name
      ? index
      : (this.numbers.get(target.name) ?? -1);
  }
}
