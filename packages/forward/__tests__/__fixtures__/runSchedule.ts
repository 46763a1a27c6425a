/**
 * Runs one random schedule of requests and faults against the real request path.
 */
import Random from '@burdockcove/runtime/Random';
import buildTarget from './buildTarget.js';
import findViolations from './findViolations.js';
import FakeTarget from './FakeTarget.js';
import type Fault from './Fault.js';
import ForwardHarness from './ForwardHarness.js';

type HarnessOptions = NonNullable<ConstructorParameters<typeof ForwardHarness>[1]>;
type RequestOutcomes = Parameters<typeof findViolations>[0];

const TARGETS = 3;
const REQUESTS = 12;
const GAP_MS = 15;
const DEADLINE_MS = 250;
const LARGE_BODY_BYTES = 100_000;
const FAULTS: readonly Fault[] = [
  'none',
  'none',
  'late',
  'shed',
  'plain-503',
  'die-before-run',
  'die-after-run',
  'cut-answer',
  'cut-chunks',
  'short-length',
  'long-length',
  'garbage',
  'silent-before-run',
  'silent-after-run',
  'die-after-answer',
  'drop-all-after-answer',
  'hints',
];

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Applies a random fault to a target between two requests. */
async function injectTargetFault(random: Random, target: FakeTarget): Promise<void> {
  switch (random.nextInt(8)) {
    case 0:
      target.silenceOpenConnections();
      break;
    case 1:
      target.closeAllConnections();
      break;
    case 2:
      await target.stop();
      break;
    default:
      break;
  }
}

async function runCallers(
  seed: number,
  harness: ForwardHarness,
  targets: readonly FakeTarget[],
): Promise<RequestOutcomes> {
  const random = new Random(seed);
  const outcomes: Promise<RequestOutcomes[number]>[] = [];
  for (let i = 0; i < REQUESTS; i += 1) {
    const id = `${seed}-${i}`;
    const isOnce = random.nextInt(2) === 0;
    const isLarge = random.nextInt(4) === 0;
    const bytes = random.nextInt(3) * (random.nextInt(4) === 0 ? LARGE_BODY_BYTES : 100);
    const body = Buffer.alloc(bytes, id);
    const leaves = random.nextInt(6) === 0;
    const path = `${isOnce ? '/once' : ''}${isLarge ? '/large' : '/small'}`;
    const result = harness.sendRequest(id, path, {
      headers: { 'burdockcove-deadline-ms': String(DEADLINE_MS) },
      ...(bytes > 0 ? { body } : {}),
      ...(leaves ? { signal: AbortSignal.timeout(random.nextInt(60)) } : {}),
    });
    const semantics = isOnce ? 'at-most-once' : 'repeatable';
    outcomes.push(result.then((received) => ({ id, semantics, body, isLarge, result: received })));
    await wait(random.nextInt(GAP_MS));
    await injectTargetFault(random, targets[random.nextInt(TARGETS)] as FakeTarget);
  }
  return Promise.all(outcomes);
}

/** Resolves with the violations and the number of requests by what their callers received. */
export default async function runSchedule(
  seed: number,
  options: HarnessOptions = {},
): Promise<{
  readonly violations: ReturnType<typeof findViolations>;
  readonly resultCounts: Readonly<Record<string, number>>;
}> {
  const random = new Random(seed + 1_000_000);
  const targets = Array.from({ length: TARGETS }, (_, i) => new FakeTarget(`t${i}`, '127.0.9.41'));
  await Promise.all(targets.map((target) => target.start()));
  const faultOdds = random.nextInt(3);
  targets.forEach((target) => {
    const faulty = random.nextInt(faultOdds + 1) === 0;
    Object.assign(target, {
      script: (): Fault => (faulty ? (FAULTS[random.nextInt(FAULTS.length)] as Fault) : 'none'),
    });
  });
  const configured = targets.map(({ name, address }) => buildTarget(name, address));
  const harness = new ForwardHarness(configured, { ip: '127.0.9.40', ...options });
  await harness.start();
  const outcomes = await runCallers(seed, harness, targets);
  await harness.stop();
  await Promise.all(targets.map((target) => target.stop()));
  const resultCounts: Record<string, number> = {};
  outcomes.forEach((outcome) => {
    resultCounts[outcome.result._tag] = (resultCounts[outcome.result._tag] ?? 0) + 1;
  });
  return { violations: findViolations(outcomes, targets), resultCounts };
}
