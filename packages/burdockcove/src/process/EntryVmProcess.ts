/**
 * One entry VM's process: the supervisor tree and its planned stop.
 */
import { isNone } from 'fp-ts/lib/Option.js';
import PeerServer from '@burdockcove/control/peer/PeerServer';
import PlannedStop from '@burdockcove/forward/drain/PlannedStop';
import StopState from '@burdockcove/forward/drain/StopState';
import Supervisor from '@burdockcove/runtime/Supervisor';
import AdminServer from '../admin/AdminServer.js';
import DemandMeter from '../admin/DemandMeter.js';
import FleetStepEvidence from '../evidence/FleetStepEvidence.js';
import OutcomeWindow from '../evidence/OutcomeWindow.js';
import registerEvidenceService from '../evidence/registerEvidenceService.js';
import type ControlParts from './ControlParts.js';
import type EntryVmParts from './EntryVmParts.js';
import type RequestPath from './RequestPath.js';
import type ShareParts from './ShareParts.js';
import buildControl from './buildControl.js';
import buildRequestPath from './buildRequestPath.js';
import buildShares from './buildShares.js';
import listReadinessChecks from './listReadinessChecks.js';
import listStatusSections from './listStatusSections.js';

const MS_PER_SECOND = 1000;

/** Built whole before anything runs. */
export default class EntryVmProcess {
  readonly control: ControlParts;

  readonly shares: ShareParts;

  readonly path: RequestPath;

  readonly admin: AdminServer;

  private readonly demand: DemandMeter;

  private readonly stopState = new StopState();

  private readonly root: Supervisor;

  private readonly ended = new AbortController();

  constructor(private readonly parts: EntryVmParts) {
    const { clock, random } = parts;
    const outcomes = new OutcomeWindow(clock);
    this.control = buildControl(parts);
    const { configuration, membership, peers } = this.control;
    const evidence = new FleetStepEvidence(
      clock,
      random,
      outcomes,
      configuration,
      membership,
      peers,
    );
    this.shares = buildShares(parts, this.control, evidence);
    this.path = buildRequestPath(parts, this.control, this.shares, this.stopState, outcomes);
    this.demand = new DemandMeter(clock, parts.registry, parts.settings.region);
    this.admin = this.buildAdmin();
    this.root = this.buildTree(outcomes);
  }

  /** Runs until `stopGracefully` or `stopNow` has ended everything. */
  async run(): Promise<void> {
    await this.root.run(this.ended.signal);
    this.control.peers.close();
    this.shares.steering.close();
  }

  /** The planned stop: leaves look-ups at once, cuts nothing in flight, then ends the process's tasks. */
  async stopGracefully(): Promise<void> {
    const { clock, logger } = this.parts;
    this.control.membership.startLeaving();
    const getTimes = () => this.computeStopTimes();
    await new PlannedStop(this.stopState, this.path.server, clock, logger, getTimes).run();
    this.stopNow();
  }

  /** Ends everything at once, as the second signal does. */
  stopNow(): void {
    this.ended.abort();
  }

  private computeStopTimes() {
    const { stopLimitMs } = this.parts.settings;
    const current = this.control.configuration.getCurrent();
    if (isNone(current)) {
      return { maxAgeMs: 0, longestDeadlineMs: 0, stopLimitMs };
    }
    const { entriesMaxAgeSeconds, services } = current.value.configuration;
    return {
      maxAgeMs: entriesMaxAgeSeconds * MS_PER_SECOND,
      longestDeadlineMs: Math.max(0, ...services.map(({ deadlineMs }) => deadlineMs)),
      stopLimitMs,
    };
  }

  private buildAdmin(): AdminServer {
    const { settings, logger, registry } = this.parts;
    return new AdminServer({
      ip: settings.ip,
      port: settings.adminPort,
      logger,
      registry,
      steering: this.shares.steering,
      checks: listReadinessChecks(settings, this.control, this.stopState),
      sections: [...listStatusSections(this.control, this.shares), this.demand],
      describer: this.path.chooser,
    });
  }

  private buildTree(outcomes: OutcomeWindow): Supervisor {
    const { settings, clock, logger } = this.parts;
    const { control, shares, path } = this;
    const routes = [
      ...control.routes,
      shares.routes,
      (router: Parameters<typeof registerEvidenceService>[0]) =>
        registerEvidenceService(router, outcomes),
    ];
    const peerServer = new PeerServer(settings.ip, settings.peerPort, routes, logger);
    return new Supervisor('root', clock, logger, [
      this.admin,
      this.demand,
      new Supervisor('control', clock, logger, [peerServer, ...control.children]),
      new Supervisor('shares', clock, logger, shares.children),
      new Supervisor('requests', clock, logger, [path.stalls, path.loads, path.server]),
    ]);
  }
}
