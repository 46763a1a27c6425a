/**
 * The demo's report for reading.
 */
import type DemoReport from './DemoReport.js';

const LABEL_WIDTH = 28;

function formatShare(share: number): string {
  return `${(100 * share).toFixed(1)}%`;
}

function listRows(report: DemoReport): readonly (readonly [string, string])[] {
  return [
    ['deployment', report.deployment],
    ['entry VMs, targets', `${report.entryVms}, ${report.targets}`],
    ['run time', `${report.seconds.toFixed(1)} s`],
    ['requests', String(report.requests)],
    ['answered', String(report.answered)],
    ['told not run', String(report.notRun)],
    ['told unknown', String(report.unknown)],
    ['cut or unreachable', String(report.cut)],
    ['ran twice (must be 0)', String(report.doubled)],
    ['false not-run (must be 0)', String(report.falseNotRun)],
    ['wrong answers (must be 0)', String(report.wrong)],
    ['answered, never run (0)', String(report.unearned)],
    ['slots exceeded (must be 0)', String(report.slotsExceeded)],
    ['latency p50, p99', `${report.p50Ms.toFixed(0)} ms, ${report.p99Ms.toFixed(0)} ms`],
    [
      'largest shift step, cap',
      `${formatShare(report.shiftLargestStep)}, ${formatShare(report.shiftCap)}`,
    ],
    ['drain: last new request', `${report.drainMs.toFixed(0)} ms`],
    ['cut by planned stop (0)', String(report.cutByPlannedStop)],
    [
      'answered before, after loss',
      `${formatShare(report.answeredBeforeLoss)}, ${formatShare(report.answeredAfterLoss)}`,
    ],
    ['answered in store outage', formatShare(report.answeredInOutage)],
    ['change during the outage', report.changeInOutage],
    ['in force after the outage', `${report.inForceMs.toFixed(0)} ms`],
    ['store calls', `${report.storeCallsPerSecond.toFixed(1)} a second`],
  ];
}

/** One line a figure. */
export default function formatReport(report: DemoReport): string {
  return listRows(report)
    .map(([label, value]) => `${label.padEnd(LABEL_WIDTH)} ${value}\n`)
    .join('');
}
