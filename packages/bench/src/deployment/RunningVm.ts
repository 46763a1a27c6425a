/**
 * One entry VM of a deployment.
 */
import type EntryVmProcess from 'burdockcove/process/EntryVmProcess';
import type Settings from '@burdockcove/types/Settings';

/** `done` settles when every task of the process has ended. */
interface RunningVm {
  readonly settings: Settings;
  /** `IP:PORT` for callers. */
  readonly address: string;
  readonly process: EntryVmProcess;
  readonly done: Promise<void>;
}

export default RunningVm;
