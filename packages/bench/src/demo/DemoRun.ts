/**
 * The demo: steady traffic, then one ordered shift, one drained target, one planned stop, one lost
 * region and one store outage.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import waitFor from '@burdockcove/runtime/waitFor';
import type CallerOutcome from '@burdockcove/standins/caller/CallerOutcome';
import TrafficSource from '@burdockcove/standins/traffic/TrafficSource';
import Deployment from '../deployment/Deployment.js';
import type DeploymentOptions from '../deployment/DeploymentOptions.js';
import applyConfiguration from '../deployment/applyConfiguration.js';
import buildCallers from '../deployment/buildCallers.js';
import readExample from '../deployment/readExample.js';
import DemoOperator from './DemoOperator.js';
import type DemoReport from './DemoReport.js';
import demoTraffic from './demoTraffic.js';
import moveWeight from './moveWeight.js';
import sumUpRun from './sumUpRun.js';

const STEADY_MS = 4000;
const DRAIN_WATCH_MS = 4000;
const LOSS_WATCH_MS = 6000;
const OUTAGE_MS = 6000;
const SHIFT_LIMIT_MS = 10_000;
const SAME_SHARE = 1e-6;
const MS_PER_SECOND = 1000;

/** Reports progress in words through the function given. */
export default class DemoRun {
  private readonly outcomes: { readonly atMs: number; readonly outcome: CallerOutcome }[] = [];

  private readonly shiftSteps: number[] = [];

  private startMs = 0;

  private readonly operator: DemoOperator;

  private constructor(
    private readonly deployment: Deployment,
    private readonly print: (line: string) => void,
  ) {
    this.operator = new DemoOperator(deployment);
  }

  /** Runs the whole demo and ends everything that it started. */
  static async run(options: DeploymentOptions, print: (line: string) => void): Promise<DemoReport> {
    const deployment = new Deployment(options, await readExample(options));
    try {
      return await new DemoRun(deployment, print).runAll();
    } finally {
      await deployment.close();
    }
  }

  private async runAll(): Promise<DemoReport> {
    const { deployment } = this;
    this.startMs = deployment.clock.getMonotonicMs();
    await deployment.start();
    await applyConfiguration(deployment);
    const { vms, targets } = deployment;
    this.say(`${vms.length} entry VMs and ${targets.size} targets run`);
    const callers = buildCallers(deployment);
    const flows = demoTraffic(deployment.options.name, [...callers.keys()]);
    const traffic = new TrafficSource(deployment.clock, callers, flows, (outcome) =>
      this.outcomes.push({ atMs: deployment.clock.getMonotonicMs(), outcome }),
    );
    const stop = new AbortController();
    const running = traffic.run(stop.signal);
    const entryVms = vms.length;
    try {
      const phases = await this.runPhases();
      stop.abort();
      await running;
      const seconds = (deployment.clock.getMonotonicMs() - this.startMs) / MS_PER_SECOND;
      const outcomes = this.outcomes.map(({ outcome }) => outcome);
      return { entryVms, seconds, ...sumUpRun(deployment, outcomes, seconds), ...phases };
    } finally {
      stop.abort();
      await Promise.all([...callers.values()].map((caller) => caller.close()));
    }
  }

  private async runPhases() {
    await this.pause(STEADY_MS);
    this.say('steady traffic flows');
    const shift = await this.runShift();
    const drainMs = await this.drainTarget();
    const cutByPlannedStop = await this.stopOneVm();
    const loss = await this.loseRegion();
    const outage = await this.rideOutage();
    return { ...shift, drainMs, cutByPlannedStop, ...loss, ...outage };
  }

  private async runShift() {
    const selector = this.deployment.configuration.selectors.find(
      ({ routes }) => routes.length > 1,
    );
    if (selector === undefined) {
      throw new Error('the configuration has no selector with two routes');
    }
    const from = selector.routes[0]?.weight ?? 0;
    const total = selector.routes.reduce((sum, { weight }) => sum + weight, 0);
    const move = Math.min(from, selector.shift.cap * total * 3);
    await this.operator.change('shift traffic', (current) =>
      moveWeight(current, selector.name, move),
    );
    this.say(`ordered a shift of ${((100 * move) / total).toFixed(0)}% of ${selector.name}`);
    const startedMs = this.deployment.clock.getMonotonicMs();
    let last = this.readMoved(selector.name);
    while (this.deployment.clock.getMonotonicMs() - startedMs < SHIFT_LIMIT_MS) {
      await this.pause(100);
      const moved = this.readMoved(selector.name);
      if (moved !== last) {
        this.shiftSteps.push(Math.abs(moved - last));
        this.say(`shift: ${(100 * moved).toFixed(1)}% on the new targets`);
      }
      last = moved;
      if (Math.abs(moved - (total - from + move) / total) < SAME_SHARE) {
        break;
      }
    }
    return {
      shiftLargestStep: Math.max(0, ...this.shiftSteps),
      shiftCap: selector.shift.cap,
      shiftPosition: last,
    };
  }

  /** Share of the selector's traffic outside its first route, as the first entry VM applies it. */
  private readMoved(selector: string): number {
    const routes = this.deployment.vms[0]?.process.shares.positions.getRoutes(selector) ?? [];
    const sum = routes.reduce((weights, { weight }) => weights + weight, 0);
    return 1 - (routes[0]?.weight ?? 0) / sum;
  }

  private async drainTarget(): Promise<number> {
    const target = this.deployment.configuration.targets.find(
      ({ labels }) => labels.track === 'steady',
    );
    const standIn = this.deployment.targets.get(target?.name ?? '');
    if (target === undefined || standIn === undefined) {
      throw new Error('the configuration has no targets');
    }
    const sinceMs = this.deployment.clock.getMonotonicMs();
    await this.operator.label(`target ${target.name} leaving=true`);
    await this.pause(DRAIN_WATCH_MS);
    const drainMs = Math.max(0, standIn.getCounts().lastStartMs - sinceMs);
    this.say(`drained ${target.name}: last new request ${drainMs.toFixed(0)} ms after the order`);
    return drainMs;
  }

  private async stopOneVm(): Promise<number> {
    const vm = this.deployment.vms.at(-1);
    if (vm === undefined) {
      throw new Error('no entry VM runs');
    }
    const before = this.countLost();
    const sinceMs = this.deployment.clock.getMonotonicMs();
    await this.deployment.stopVm(vm);
    const tookMs = this.deployment.clock.getMonotonicMs() - sinceMs;
    const cut = this.countLost() - before;
    this.say(`planned stop of ${vm.address} took ${tookMs.toFixed(0)} ms and cut ${cut}`);
    return cut;
  }

  private countLost(): number {
    return this.outcomes.filter(({ outcome }) => ['cut', 'refused'].includes(outcome.told)).length;
  }

  private async loseRegion() {
    const region = this.deployment.configuration.regions.at(-1)?.name ?? '';
    const answeredBeforeLoss = this.shareAnswered(STEADY_MS);
    this.say(`region ${region} is lost`);
    await this.deployment.loseRegion(region);
    await this.pause(LOSS_WATCH_MS);
    const answeredAfterLoss = this.shareAnswered(LOSS_WATCH_MS / 2);
    this.say(`the other regions answer ${(100 * answeredAfterLoss).toFixed(1)}% of requests`);
    return { answeredBeforeLoss, answeredAfterLoss };
  }

  private async rideOutage() {
    this.deployment.store.setDown(true);
    this.say('the store is down');
    await this.pause(OUTAGE_MS);
    const answeredInOutage = this.shareAnswered(OUTAGE_MS);
    const region = this.deployment.configuration.regions[0]?.name ?? '';
    const refused = await this.operator.tryLabel(`region ${region} outage=now`);
    const changeInOutage = isLeft(refused) ? refused.left._tag : 'Accepted';
    this.deployment.store.setDown(false);
    this.say(
      `answered ${(100 * answeredInOutage).toFixed(1)}% meanwhile; a change was told: ${changeInOutage}`,
    );
    const inForceMs = await this.changeAfterOutage();
    this.say(`a change after the outage was in force everywhere in ${inForceMs.toFixed(0)} ms`);
    return { answeredInOutage, changeInOutage, inForceMs };
  }

  private async changeAfterOutage(): Promise<number> {
    const region = this.deployment.configuration.regions[0]?.name ?? '';
    await this.deployment.waitUntil(
      'the store answers again',
      () => !this.deployment.store.isDown(),
    );
    const accepted = await this.operator.retryLabel(`region ${region} outage=over`);
    const sinceMs = this.deployment.clock.getMonotonicMs();
    await this.deployment.waitUntil('the change is in force everywhere', () =>
      this.deployment.vms.every((vm) => {
        const current = vm.process.control.configuration.getCurrent();
        return isSome(current) && current.value.configuration.regions[0]?.labels.outage === 'over';
      }),
    );
    return accepted ? this.deployment.clock.getMonotonicMs() - sinceMs : NaN;
  }

  private shareAnswered(withinMs: number): number {
    const sinceMs = this.deployment.clock.getMonotonicMs() - withinMs;
    const recent = this.outcomes.filter(({ atMs }) => atMs >= sinceMs);
    const answered = recent.filter(({ outcome }) => outcome.told === 'answered');
    return answered.length / Math.max(1, recent.length);
  }

  private async pause(ms: number): Promise<void> {
    await waitFor(this.deployment.clock, ms);
  }

  private say(line: string): void {
    const seconds = (this.deployment.clock.getMonotonicMs() - this.startMs) / MS_PER_SECOND;
    this.print(`${seconds.toFixed(1).padStart(6)} s  ${line}`);
  }
}
