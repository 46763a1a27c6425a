/**
 * One `burdockcove` process of a simulation: the real code of shares on virtual time.
 */
import Logger from '@burdockcove/runtime/Logger';
import type Child from '@burdockcove/runtime/Child';
import type Random from '@burdockcove/runtime/Random';
import type AuditSink from '@burdockcove/types/AuditSink';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Store from '@burdockcove/store/Store';
import LocalShareEndpoint from '@burdockcove/shares/LocalShareEndpoint';
import LoanClient from '@burdockcove/shares/LoanClient';
import LoanService from '@burdockcove/shares/LoanService';
import OwnedSlotLedger from '@burdockcove/shares/OwnedSlotLedger';
import ShareMaintainer from '@burdockcove/shares/ShareMaintainer';
import type ShareTransport from '@burdockcove/shares/ShareTransport';
import Planner from '@burdockcove/shares/planner/Planner';
import ReplicaShiftPositions from '@burdockcove/shares/shift/ReplicaShiftPositions';
import ShiftRunner from '@burdockcove/shares/shift/ShiftRunner';
import type FleetOptions from './FleetOptions.js';
import ReplicaConfiguration from './ReplicaConfiguration.js';
import VirtualMembership from './VirtualMembership.js';
import type VirtualProcess from './VirtualProcess.js';
import type VirtualReplica from './VirtualReplica.js';
import VirtualRoleKeeper from './VirtualRoleKeeper.js';

const LOGGER = new Logger('silent', 'json');

/** Roles are named as in the process: `planner/<region>` and `shift`. */
export default class VirtualNode {
  readonly membership: VirtualMembership;

  readonly ledger: OwnedSlotLedger;

  readonly endpoint: LocalShareEndpoint;

  readonly positions: ReplicaShiftPositions;

  readonly roles: ReadonlyMap<string, VirtualRoleKeeper>;

  private readonly configuration: ReplicaConfiguration;

  private readonly service: LoanService;

  private readonly abort = new AbortController();

  constructor(
    readonly vm: EntryVm,
    readonly process: VirtualProcess,
    readonly replica: VirtualReplica,
    private readonly options: FleetOptions,
    private readonly random: Random,
    private readonly store: Store,
    readonly transport: ShareTransport,
    private readonly audit: AuditSink,
  ) {
    const { timing, policy } = options;
    this.membership = new VirtualMembership(vm);
    this.configuration = new ReplicaConfiguration(replica);
    this.ledger = new OwnedSlotLedger(
      process,
      timing,
      this.membership,
      this.configuration,
      replica,
    );
    this.positions = new ReplicaShiftPositions(this.configuration, replica);
    this.service = new LoanService(this.ledger, timing, policy);
    this.endpoint = new LocalShareEndpoint(this.ledger, this.service, this.positions);
    const names = [`planner/${vm.region}`, 'shift'];
    this.roles = new Map(names.map((name) => [name, new VirtualRoleKeeper(name)]));
  }

  /** Starts the children; a child that fails is reported. */
  start(onFailure: (error: unknown) => void): void {
    this.buildChildren().forEach((child) => {
      child.run(this.abort.signal).catch(onFailure);
    });
  }

  /** Ends the process without a word to anyone. */
  kill(): void {
    this.process.end();
  }

  private buildChildren(): readonly Child[] {
    const { process, random, ledger, transport, store, membership } = this;
    const { timing } = this.options;
    return [
      new ShareMaintainer(process, LOGGER, membership, store, ledger, this.service),
      new LoanClient(process, random, timing, membership, ledger, transport),
      this.buildPlanner(),
      this.buildShiftRunner(),
    ];
  }

  private buildPlanner(): Planner {
    const { region } = this.vm;
    return new Planner(
      this.process,
      this.random,
      LOGGER,
      this.options.timing,
      region,
      this.getRole(`planner/${region}`),
      this.membership,
      this.configuration,
      this.replica,
      this.store,
      this.transport,
      this.audit,
    );
  }

  private buildShiftRunner(): ShiftRunner {
    return new ShiftRunner(
      this.process,
      this.random,
      LOGGER,
      this.options.timing,
      this.getRole('shift'),
      this.membership,
      this.configuration,
      this.replica,
      this.store,
      this.transport,
      this.options.evidence,
      this.audit,
    );
  }

  private getRole(name: string): VirtualRoleKeeper {
    return this.roles.get(name) ?? new VirtualRoleKeeper(name);
  }
}
