/**
 * What an entry VM's process is built from.
 */
import type { Registry } from 'prom-client';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import type Store from '@burdockcove/store/Store';
import type VmList from '@burdockcove/store/VmList';
import type Settings from '@burdockcove/types/Settings';

/** Tests and the demo put stand-ins in place of the platform. */
interface EntryVmParts {
  readonly settings: Settings;
  readonly store: Store;
  readonly vmList: VmList;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly registry: Registry;
}

export default EntryVmParts;
