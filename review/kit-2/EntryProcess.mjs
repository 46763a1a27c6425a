/**
 * One entry machine: the built program as a process of its own, started with the command of the deploy file.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
/** Exit code of a case that could not run. */
const UNABLE = 2;
const RUN_PATTERN = /^run = "node (.*)"$/m;

/** Processes that end with this one, however it ends. */
const children = new Set();
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));
/* eslint-disable n/no-process-exit -- a test that ends before its time must not look like one that failed. */
['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(UNABLE)));
process.once('uncaughtException', (error) => {
  process.stderr.write(`the case could not run: ${error.stack}\n`);
  process.exit(UNABLE);
});
/* eslint-enable n/no-process-exit */

/** Lets a process that this one has started end with it. */
export function endWithThis(child) {
  children.add(child);
  child.once('exit', () => children.delete(child));
}

async function readCommand() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  return RUN_PATTERN.exec(text)[1].split(' ');
}

/** Sends a GET request to `ADDRESS` and resolves with its status and body, or with status 0. */
export async function get(address, path, timeoutMs) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const fail = () => resolve({ status: 0, body: '' });
    const call = request({ host, port, path, agent: false }, (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('error', fail);
      response.on('end', () =>
        resolve({ status: response.statusCode, body: Buffer.concat(parts).toString() }),
      );
    });
    call.on('error', fail);
    call.setTimeout(timeoutMs, () => call.destroy(new Error('timeout')));
    call.end();
  });
}

export default class EntryProcess {
  /** Code and signal of the last end; null while the process runs. */
  end = null;

  #child = null;

  #ended = null;

  #isBootstrap = true;

  /** `zones` maps each zone to its region; `folder` takes the settings and the log. */
  constructor({ name, ip, ports, zone, zones, bounds, store, folder }) {
    Object.assign(this, { name, ip, zone, zones, bounds, store, folder });
    this.front = `${ip}:${ports}`;
    this.ready = `${ip}:${ports + 1}`;
    this.directory = `${ip}:${ports + 2}`;
    this.internal = [ports + 10, ports + 25];
  }

  async start() {
    const path = join(this.folder, `${this.name}.yaml`);
    await writeFile(path, this.#buildSettings());
    this.#isBootstrap = false;
    this.end = null;
    const env = { ...process.env, BURDOCKCOVE_SETTINGS: path };
    this.#child = spawn(process.execPath, await readCommand(), { cwd: ROOT, env });
    endWithThis(this.#child);
    const log = [];
    this.#child.stdout.on('data', (data) => log.push(data));
    this.#child.stderr.on('data', (data) => log.push(data));
    this.#ended = once(this.#child, 'exit').then(async ([code, signal]) => {
      this.end = [code, signal];
      await writeFile(join(this.folder, `${this.name}.log`), Buffer.concat(log), { flag: 'a' });
    });
  }

  get pid() {
    return this.#child.pid;
  }

  kill(signal) {
    this.#child.kill(signal);
  }

  /** Resolves once the process has ended. */
  async waitForEnd() {
    await this.#ended;
  }

  /** SIGTERM, and SIGKILL after `graceS`, as the platform stops a process. */
  async stop(graceMs) {
    this.kill('SIGTERM');
    const timer = setTimeout(() => this.kill('SIGKILL'), graceMs);
    await this.#ended;
    clearTimeout(timer);
  }

  async isReady() {
    return (await get(this.ready, '/-/ready', 500)).status === 200;
  }

  #buildSettings() {
    const { name, ip, zone, zones, bounds, store } = this;
    const lines = [
      `nodeName: "${name}"`,
      'role: "entry"',
      'machineClass: "front"',
      'serves:',
      '  - "front"',
      '  - "directory"',
      `ip: "${ip}"`,
      `zone: "${zone}"`,
      `region: "${zones[zone]}"`,
      'zones:',
      ...Object.entries(zones).map(([key, region]) => `  ${key}: "${region}"`),
      'listen:',
      `  front: "${this.front}"`,
      `  ready: "${this.ready}"`,
      `  directory: "${this.directory}"`,
      'internalPorts:',
      ...this.internal.map((port) => `  - ${port}`),
      `bootstrap: ${this.#isBootstrap}`,
      'inTolerance: true',
      'limits:',
      '  cpuShare: 0.675',
      '  cores: 2',
      '  memoryMb: 602',
      '  maxFds: 8192',
      '  linkMbps: 200.0',
      '  diskMb: 0',
      'dataDir: null',
      'discovery: "platform"',
      'entry: "directory"',
      'heartbeatS: 1.5',
      'contracts:',
      ...['base', 'drain', 'config', 'cost', 'retry', 'recover', 'health', 'pool', 'places'].map(
        (part) => `  - "${part}"`,
      ),
      ...['tenants', 'quota', 'pressure', 'platform'].map((part) => `  - "${part}"`),
      'tolerate:',
      '  machines: 2',
      '  zones: 1',
      '  regions: 1',
      'bounds:',
      ...Object.entries(bounds).map(([key, value]) => `  - "${key}=${value}"`),
      'platform:',
      `  address: "${store}"`,
      '  form: "kv"',
      '  writesPerS: 400',
      '  readsPerS: 2000',
      '  historyS: 20',
      '  valueBytes: 1048576',
      '  ttlMinS: 1',
    ];
    return `${lines.join('\n')}\n`;
  }
}
