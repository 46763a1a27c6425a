/**
 * What the control part of a process is made of.
 */
import type { Registry } from 'prom-client';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import type Store from '@burdockcove/store/Store';
import type VmList from '@burdockcove/store/VmList';
import type PeerTransports from '@burdockcove/protocol/PeerTransports';
import type EntryVm from '@burdockcove/types/EntryVm';
import type ExchangeTiming from './exchange/ExchangeTiming.js';

/** Parts that the process hands in. */
interface ControlOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly registry: Registry;
  readonly self: EntryVm;
  readonly store: Store;
  readonly vmList: VmList;
  readonly vmListPollMs: number;
  readonly transports: PeerTransports;
  readonly timing?: ExchangeTiming;
}

export default ControlOptions;
