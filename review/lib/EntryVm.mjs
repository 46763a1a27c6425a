/**
 * One entry VM as the deploy file starts it: a process of its own with a settings file, on a loopback address.
 */
/* eslint-disable no-await-in-loop -- the steps follow each other. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const COMMAND = ['--max-old-space-size=180', 'target/burdockcove-platform.cjs'];

async function findFreePort(ip) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function buildSettings({ name, ip, ports, storeAddress, zone, region }) {
  return `nodeName: "${name}"
role: "entry"
machineClass: "front"
serves: ["front", "directory"]
ip: "${ip}"
zone: "${zone}"
region: "${region}"
zones:
  bdg-a: "jabar"
  smg-a: "jateng"
listen:
  front: "${ip}:${ports[0]}"
  ready: "${ip}:${ports[1]}"
  directory: "${ip}:${ports[2]}"
internalPorts: [${ports[3]}, ${ports[3]}]
bootstrap: true
heartbeatS: 1.5
bounds:
  - "seedLagS=3"
  - "reuseAfterS=2"
  - "stableWindowS=3"
  - "drainS=2.5"
  - "graceS=6"
  - "lostSlackS=0.2"
  - "configApplyS=2.5"
  - "retryBudgetRatio=0.2"
  - "budgetWindowS=10"
  - "retryBudgetSlack=58"
  - "coldBurstFactor=1.5"
  - "coldSlack=5"
  - "evacuateS=5"
  - "recoveryS=15"
  - "ttl_max_s=5"
platform:
  address: "${storeAddress}"
  form: "kv"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinS: 1
`;
}

export default class EntryVm {
  exit = null;

  constructor(name, storeAddress, { zone = 'bdg-a', region = 'jabar' } = {}) {
    this.name = name;
    this.place = { zone, region, storeAddress };
    // The port for metrics is fixed, so each VM gets a loopback address of its own.
    const part = () => 1 + Math.floor(Math.random() * 250);
    this.ip = `127.${part()}.${part()}.${part()}`;
  }

  async start(logFile) {
    const { name, ip } = this;
    const ports = [];
    for (let i = 0; i < 4; i += 1) {
      ports.push(await findFreePort(ip));
    }
    this.ports = ports;
    this.folder = await mkdtemp(join(tmpdir(), 'review-'));
    this.settingsFile = join(this.folder, 'settings.yaml');
    await writeFile(this.settingsFile, buildSettings({ name, ip, ports, ...this.place }));
    this.spawnProcess(logFile);
  }

  spawnProcess(logFile) {
    this.exit = null;
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(process.execPath, COMMAND, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, BURDOCKCOVE_SETTINGS: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = logFile === undefined ? null : createWriteStream(logFile);
    this.output = '';
    const keep = (chunk) => {
      log?.write(chunk);
      this.output = (this.output + chunk).slice(-20_000);
    };
    this.child.stdout.on('data', keep);
    this.child.stderr.on('data', keep);
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.exit = { code, signal, atMs: performance.now() };
        log?.end();
        resolve(this.exit);
      });
    });
  }

  get address() {
    return { host: this.ip, port: this.ports[0] };
  }

  isReady() {
    const options = { host: this.ip, port: this.ports[1], path: '/-/ready', agent: false };
    return new Promise((resolve) => {
      const message = get(options, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      message.on('error', () => resolve(false));
    });
  }

  async waitUntilReady(limitMs = 15_000) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      if (await this.isReady()) {
        return;
      }
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
    throw new Error(`${this.name} did not get ready`);
  }

  /** Kills the process if it still runs, and removes its folder. */
  async end() {
    if (this.child !== undefined && this.exit === null) {
      this.child.kill('SIGKILL');
      await this.exited;
    }
    if (this.folder !== undefined) {
      await rm(this.folder, { recursive: true, force: true });
    }
  }
}
