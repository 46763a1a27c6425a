/**
 * The process whose look-ups are measured.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

/** Without the `source` condition, packages are those compiled. */
const EXEC_ARGV = ['--import', 'tsx'];
const US_PER_SECOND = 1_000_000;

/** Answers questions about its own processor time. */
export default class EntriesProcess {
  private constructor(
    private readonly child: ChildProcess,
    readonly address: string,
  ) {}

  /** `node` is the real door with that many members; `plain` is the baseline. */
  static async start(kind: 'node' | 'plain', members: number): Promise<EntriesProcess> {
    const path = fileURLToPath(new URL(`./${kind}/main.ts`, import.meta.url));
    const child = fork(path, [String(members)], { execArgv: EXEC_ARGV });
    const [address] = (await once(child, 'message')) as [string];
    return new EntriesProcess(child, address);
  }

  /** Processor seconds that the process has used in all its threads. */
  async readCpuSeconds(): Promise<number> {
    this.child.send('cpu');
    const [used] = (await once(this.child, 'message')) as [number];
    return used / US_PER_SECOND;
  }

  stop(): void {
    this.child.kill();
  }
}
