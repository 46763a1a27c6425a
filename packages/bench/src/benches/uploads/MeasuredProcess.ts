/**
 * The process whose memory is measured.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

/** Without the `source` condition, packages are those compiled. */
const EXEC_ARGV = ['--expose-gc', '--import', 'tsx'];

/** Answers questions about its own memory. */
export default class MeasuredProcess {
  private constructor(
    private readonly child: ChildProcess,
    readonly address: string,
  ) {}

  /** Starts an entry VM that forwards to the targets. */
  static async start(targets: readonly string[]): Promise<MeasuredProcess> {
    const path = fileURLToPath(new URL('./node/main.ts', import.meta.url));
    const child = fork(path, [...targets], { execArgv: EXEC_ARGV });
    const [address] = (await once(child, 'message')) as [string];
    return new MeasuredProcess(child, address);
  }

  /** Resident bytes after a garbage collection. */
  async readResidentBytes(): Promise<number> {
    this.child.send('memory');
    const [bytes] = (await once(this.child, 'message')) as [number];
    return bytes;
  }

  stop(): void {
    this.child.kill();
  }
}
