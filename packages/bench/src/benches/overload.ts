/**
 * The `overload` measurement: goodput, refusals and recovery, in virtual time.
 */
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import type OverloadResult from './overload/OverloadResult.js';
import runOverload from './overload/runOverload.js';

const FACTORS = [1, 2, 5];
const GOODPUT_SHARE = 0.9;
/** What "within seconds" is held to. */
const RECOVERY_SECONDS = 5;

function listFigures(
  factor: number,
  peak: number,
  own: OverloadResult,
  baseline: OverloadResult,
): readonly FigureDraft[] {
  const at = `at ${String(factor)}x`;
  return [
    {
      figure: `goodput ${at}`,
      value: own.goodput,
      unit: 'requests/s',
      baseline: baseline.goodput,
    },
    {
      figure: `goodput of the peak ${at}`,
      value: own.goodput / peak,
      unit: 'share',
      baseline: baseline.goodput / peak,
      target: 'at least 0.9',
      holds: (value) => value >= GOODPUT_SHARE,
    },
    { figure: `answered p50 ${at}`, value: own.answeredP50Ms, unit: 'ms' },
    {
      figure: `answered p99 ${at}`,
      value: own.answeredP99Ms,
      unit: 'ms',
      baseline: baseline.answeredP99Ms,
    },
    { figure: `refused p50 ${at}`, value: own.refusedP50Ms, unit: 'ms' },
    { figure: `refused p99 ${at}`, value: own.refusedP99Ms, unit: 'ms' },
    {
      figure: `time to recover after ${at.slice('at '.length)}`,
      value: own.recoverySeconds,
      unit: 's',
      baseline: baseline.recoverySeconds,
      target: `at most ${String(RECOVERY_SECONDS)} s`,
      holds: (value) => value <= RECOVERY_SECONDS,
    },
  ];
}

const overload: Bench = {
  name: 'overload',
  summary: 'goodput, refusals and recovery at 1x, 2x and 5x of capacity, in virtual time',
  async run(seed) {
    const runs: { factor: number; own: OverloadResult; baseline: OverloadResult }[] = [];
    for (const factor of FACTORS) {
      const own = await runOverload('loans', factor, seed);
      const baseline = await runOverload('unbounded', factor, seed);
      runs.push({ factor, own, baseline });
    }
    const peak = Math.max(...runs.map(({ own }) => own.goodput));
    return runs.flatMap(({ factor, own, baseline }) => listFigures(factor, peak, own, baseline));
  },
};

export default overload;
