/**
 * The world of a scenario: one deployment with steady traffic.
 */
import Deployment from '@burdockcove/bench/deployment/Deployment';
import type DeploymentOptions from '@burdockcove/bench/deployment/DeploymentOptions';
import applyConfiguration from '@burdockcove/bench/deployment/applyConfiguration';
import buildCallers from '@burdockcove/bench/deployment/buildCallers';
import readExample from '@burdockcove/bench/deployment/readExample';
import demoTraffic from '@burdockcove/bench/demo/demoTraffic';
import type CallerStandIn from '@burdockcove/standins/caller/CallerStandIn';
import TrafficSource from '@burdockcove/standins/traffic/TrafficSource';
import type RunTally from '@burdockcove/standins/traffic/RunTally';
import type TargetStandIn from '@burdockcove/standins/target/TargetStandIn';
import tallyRun from '@burdockcove/standins/traffic/tallyRun';

/** Opened by the first step, closed after the last. */
export default class ScenarioWorld {
  /** What the last operator's command was told. */
  told = '';

  private readonly stop = new AbortController();

  private sending: Promise<void> = Promise.resolve();

  private constructor(
    readonly deployment: Deployment,
    readonly traffic: TrafficSource,
    private readonly callers: ReadonlyMap<string, CallerStandIn>,
  ) {}

  /** Starts everything and waits until requests are answered. */
  static async open(options: DeploymentOptions): Promise<ScenarioWorld> {
    const deployment = new Deployment(options, await readExample(options));
    try {
      await deployment.start();
      await applyConfiguration(deployment);
    } catch (error) {
      await deployment.close();
      throw error;
    }
    const callers = buildCallers(deployment);
    const flows = demoTraffic(options.name, [...callers.keys()]);
    const traffic = new TrafficSource(deployment.clock, callers, flows);
    const world = new ScenarioWorld(deployment, traffic, callers);
    world.sending = traffic.run(world.stop.signal);
    await world.waitAnswered();
    return world;
  }

  /** Waits until a request sent from now on is answered. */
  async waitAnswered(): Promise<void> {
    const seen = this.traffic.outcomes.length;
    await this.deployment.waitUntil('a request is answered', () =>
      this.traffic.outcomes.slice(seen).some(({ told }) => told === 'answered'),
    );
  }

  getTarget(name: string): TargetStandIn {
    const target = this.deployment.targets.get(name);
    if (target === undefined) {
      throw new Error(`no target is named '${name}'`);
    }
    return target;
  }

  /** Ends the traffic, waits for the answers still due and compares them with what ran. */
  async settle(): Promise<RunTally> {
    this.stop.abort();
    await this.sending;
    const runs = [...this.deployment.targets.values()].map((target) => target.getCounts().runs);
    return tallyRun(this.traffic.outcomes, runs);
  }

  /** Largest number of requests at once at any target above its slots, and requests shed for want of one. */
  countExcess(): number {
    const { configuration, targets } = this.deployment;
    const excess = configuration.targets.map(({ name, slots }) => {
      const counts = targets.get(name)?.getCounts();
      return (counts?.peakInFlight ?? 0) - slots;
    });
    return Math.max(0, ...excess);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.sending;
    await Promise.all([...this.callers.values()].map((caller) => caller.close()));
    await this.deployment.close();
  }
}
