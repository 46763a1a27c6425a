/**
 * A whole deployment in one process: stand-ins for the platform and the targets, and the real code
 * of the entry VMs, all on real sockets.
 */
import { Registry } from 'prom-client';
import EntryVmProcess from 'burdockcove/process/EntryVmProcess';
import EtcdStore from '@burdockcove/store/EtcdStore';
import HttpSdVmList from '@burdockcove/store/HttpSdVmList';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import SystemClock from '@burdockcove/runtime/SystemClock';
import waitFor from '@burdockcove/runtime/waitFor';
import StoreServer from '@burdockcove/standins/store/StoreServer';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import TargetStandIn from '@burdockcove/standins/target/TargetStandIn';
import VmListServer from '@burdockcove/standins/vmList/VmListServer';
import VmListStandIn from '@burdockcove/standins/vmList/VmListStandIn';
import type Configuration from '@burdockcove/types/Configuration';
import type Settings from '@burdockcove/types/Settings';
import type Target from '@burdockcove/types/Target';
import type Vm from '@burdockcove/types/Vm';
import type DeploymentOptions from './DeploymentOptions.js';
import type RunningVm from './RunningVm.js';

const CALLER_PORT = 8080;
const PEER_PORT = 8081;
const ADMIN_PORT = 8082;
const STORE_PREFIX = 'burdockcove/';
const VM_LIST_POLL_MS = 500;
const ANSWER_BYTES = 400;
const COLD_MS = 2000;
const COLD_FACTOR = 1.5;
const POLL_MS = 20;
const WAIT_LIMIT_MS = 20_000;

/** Everything is started and stopped by methods; nothing outlives `close`. */
export default class Deployment {
  readonly clock = new SystemClock();

  readonly store: StoreStandIn;

  readonly vmList: VmListStandIn;

  readonly targets = new Map<string, TargetStandIn>();

  readonly vms: RunningVm[] = [];

  readonly logger: Logger;

  /** The store as an operator's tool reaches it. */
  operatorStore!: EtcdStore;

  private readonly storeServer: StoreServer;

  private readonly listServer: VmListServer;

  private readonly stores: EtcdStore[] = [];

  private storeAddress = '';

  private listAddress = '';

  constructor(
    readonly options: DeploymentOptions,
    readonly configuration: Configuration,
  ) {
    this.logger = new Logger(options.logLevel, 'pretty');
    this.store = new StoreStandIn(this.clock);
    this.storeServer = new StoreServer(this.store);
    this.vmList = new VmListStandIn(this.clock, options.listLagMs);
    this.listServer = new VmListServer(this.vmList);
  }

  /** Starts the platform, the targets and the entry VMs; the configuration is stored by the caller. */
  async start(): Promise<void> {
    const { octet } = this.options;
    this.storeAddress = await this.storeServer.start(`127.${octet}.250.1`, 0);
    this.listAddress = await this.listServer.start(`127.${octet}.250.2`, 0);
    this.operatorStore = this.buildStore();
    await Promise.all(this.configuration.targets.map((target) => this.startTarget(target)));
    this.listSettings().forEach((settings) => this.startVm(settings));
  }

  /** Starts a target of the configuration, or starts it again after a crash. */
  async startTarget(target: Target): Promise<void> {
    const [ip = '', port = '0'] = target.address.split(':');
    const standIn = new TargetStandIn(
      {
        name: target.name,
        ip,
        port: Number(port),
        slots: target.slots,
        maxConnections: this.getConnectionsPerTarget(target.service),
        serviceMs: this.options.serviceMs,
        answerBytes: ANSWER_BYTES,
        coldMs: COLD_MS,
        coldFactor: COLD_FACTOR,
        seed: this.options.seed + this.targets.size,
      },
      this.clock,
    );
    await standIn.start();
    this.targets.set(target.name, standIn);
    this.vmList.addVm(this.buildTargetVm(target));
  }

  /** Starts one entry VM's process and lists it as live. */
  startVm(settings: Settings): RunningVm {
    const store = this.buildStore();
    const process = new EntryVmProcess({
      settings,
      store,
      vmList: new HttpSdVmList(this.clock, this.listAddress),
      clock: this.clock,
      random: new Random(settings.seed),
      logger: this.logger,
      registry: new Registry(),
    });
    const address = `${settings.ip}:${settings.callerPort}`;
    const vm = { settings, address, process, done: process.run() };
    this.vms.push(vm);
    this.vmList.addVm(this.buildEntryVm(settings));
    return vm;
  }

  /** Ends an entry VM's process at once, as a crash does, and takes it off the list. */
  async crashVm(vm: RunningVm): Promise<void> {
    this.vms.splice(this.vms.indexOf(vm), 1);
    vm.process.stopNow();
    this.vmList.removeVm(vm.address);
    await vm.done;
  }

  /** Stops an entry VM with nothing cut off and takes it off the list. */
  async stopVm(vm: RunningVm): Promise<void> {
    this.vmList.addVm({ ...this.buildEntryVm(vm.settings), state: 'leaving' });
    await vm.process.stopGracefully();
    await vm.done;
    this.vms.splice(this.vms.indexOf(vm), 1);
    this.vmList.removeVm(vm.address);
  }

  async crashTarget(name: string): Promise<void> {
    await this.targets.get(name)?.crash();
  }

  /** Ends every entry VM and every target of the region at once. */
  async loseRegion(region: string): Promise<void> {
    const { failureDomains, targets } = this.configuration;
    const domains = failureDomains.filter((each) => each.region === region).map(({ name }) => name);
    const vms = this.vms.filter(({ settings }) => settings.region === region);
    const lost = targets.filter(({ failureDomain }) => domains.includes(failureDomain));
    await Promise.all(vms.map((vm) => this.crashVm(vm)));
    await Promise.all(lost.map(({ name }) => this.crashTarget(name)));
  }

  /** Resolves once the condition holds; throws with the words given when it takes too long. */
  async waitUntil(what: string, holds: () => boolean, limitMs = WAIT_LIMIT_MS): Promise<number> {
    const startMs = this.clock.getMonotonicMs();
    while (!holds()) {
      if (this.clock.getMonotonicMs() - startMs > limitMs) {
        throw new Error(`waited ${limitMs} ms in vain: ${what}`);
      }
      await waitFor(this.clock, POLL_MS);
    }
    return this.clock.getMonotonicMs() - startMs;
  }

  async close(): Promise<void> {
    await Promise.all([...this.vms].map((vm) => this.crashVm(vm)));
    await Promise.all([...this.targets.values()].map((target) => target.crash()));
    await Promise.all(this.stores.map((store) => store.close()));
    await this.storeServer.stop();
    await this.listServer.stop();
  }

  private listSettings(): readonly Settings[] {
    const { entryVmsPerDomain } = this.options;
    return this.configuration.failureDomains.flatMap((domain, index) =>
      Array.from({ length: entryVmsPerDomain }, (_none, position) =>
        this.buildSettings(domain.name, domain.region, index + 1, position + 1),
      ),
    );
  }

  private buildSettings(
    failureDomain: string,
    region: string,
    place: number,
    position: number,
  ): Settings {
    const { octet, stopLimitMs, seed } = this.options;
    return {
      ip: `127.${octet}.${place}.${position}`,
      callerPort: CALLER_PORT,
      peerPort: PEER_PORT,
      adminPort: ADMIN_PORT,
      failureDomain,
      region,
      store: { endpoints: [`http://${this.storeAddress}`], prefix: STORE_PREFIX },
      vmList: { url: this.listAddress, pollMs: VM_LIST_POLL_MS },
      log: { level: 'warn', format: 'pretty' },
      stopLimitMs,
      seed: seed + place * 100 + position,
    };
  }

  private buildStore(): EtcdStore {
    const store = new EtcdStore(this.clock, [`http://${this.storeAddress}`], STORE_PREFIX);
    this.stores.push(store);
    return store;
  }

  private buildEntryVm(settings: Settings): Vm {
    return {
      address: `${settings.ip}:${settings.callerPort}`,
      peerAddress: `${settings.ip}:${settings.peerPort}`,
      kind: 'entry',
      failureDomain: settings.failureDomain,
      state: 'live',
    };
  }

  private buildTargetVm({ address, failureDomain }: Target): Vm {
    return { address, kind: 'target', failureDomain, state: 'live' };
  }

  private getConnectionsPerTarget(name: string): number {
    const service = this.configuration.services.find((each) => each.name === name);
    return service?.connectionsPerTarget ?? 1;
  }
}
