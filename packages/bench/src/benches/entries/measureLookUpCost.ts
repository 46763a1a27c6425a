/**
 * Processor time of look-ups.
 */
import type EntriesLoad from './EntriesLoad.js';
import type EntriesProcess from './EntriesProcess.js';

const CALLERS = 16;
const CLOSED_MS = 2000;
const OPEN_MS = 4000;
const MS_PER_SECOND = 1000;

/** Seconds of processor time a look-up at full speed, and the share of a core at the target's rate. */
interface LookUpCost {
  readonly secondsEach: number;
  readonly coreShare: number;
  /** Look-ups a second that were really made at the target's rate. */
  readonly openRate: number;
}

async function measureCpu(
  process: EntriesProcess,
  run: () => Promise<number>,
): Promise<{ readonly rate: number; readonly cpuSeconds: number; readonly seconds: number }> {
  const before = await process.readCpuSeconds();
  const startedMs = performance.now();
  const rate = await run();
  const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
  return { rate, cpuSeconds: (await process.readCpuSeconds()) - before, seconds };
}

/** One round: closed loop, then open loop at `perSecond`. */
export default async function measureLookUpCost(
  process: EntriesProcess,
  load: EntriesLoad,
  perSecond: number,
): Promise<LookUpCost> {
  const closed = await measureCpu(process, () => load.runClosedLoop(CALLERS, CLOSED_MS));
  const open = await measureCpu(process, () => load.runOpenLoop(perSecond, OPEN_MS));
  return {
    secondsEach: closed.cpuSeconds / (closed.rate * closed.seconds),
    coreShare: open.cpuSeconds / open.seconds,
    openRate: open.rate,
  };
}
