/**
 * A stand-in for the platform's lagging VM list, used in process as a `VmList`.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type Clock from '@burdockcove/runtime/Clock';
import type VmList from '@burdockcove/store/VmList';
import type StoreError from '@burdockcove/types/StoreError';
import type Vm from '@burdockcove/types/Vm';

interface ListVersion {
  readonly atMs: number;
  readonly vms: readonly Vm[];
}

/** Shows each change only after the lag. */
export default class VmListStandIn implements VmList {
  private versions: readonly ListVersion[] = [{ atMs: Number.NEGATIVE_INFINITY, vms: [] }];

  private down = false;

  private calls = 0;

  constructor(
    private readonly clock: Clock,
    private lagMs = 0,
  ) {}

  /** Replaces the list; readers see it once the lag has passed. */
  setVms(vms: readonly Vm[]): void {
    this.versions = [...this.versions, { atMs: this.clock.getMonotonicMs(), vms }];
  }

  /** Adds the VM, or replaces the one with its address. */
  addVm(vm: Vm): void {
    this.setVms([...this.getTrueVms().filter(({ address }) => address !== vm.address), vm]);
  }

  removeVm(address: string): void {
    this.setVms(this.getTrueVms().filter((vm) => vm.address !== address));
  }

  /** The list without its lag. */
  getTrueVms(): readonly Vm[] {
    return this.versions.at(-1)?.vms ?? [];
  }

  /** The list as readers see it now. */
  getShownVms(): readonly Vm[] {
    const shownMs = this.clock.getMonotonicMs() - this.lagMs;
    return this.versions.findLast(({ atMs }) => atMs <= shownMs)?.vms ?? [];
  }

  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }

  setDown(down: boolean): void {
    this.down = down;
  }

  isDown(): boolean {
    return this.down;
  }

  countCalls(): number {
    return this.calls;
  }

  listVms(): TaskEither<StoreError, readonly Vm[]> {
    return async (): Promise<Either<StoreError, readonly Vm[]>> => {
      this.calls += 1;
      return this.down
        ? left({
            _tag: 'StoreUnavailable',
            step: 'vm list',
            peer: 'vm-list',
            detail: 'list is down',
          })
        : right(this.getShownVms());
    };
  }
}
