/**
 * Child processes of the forward bench.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Without the `source` condition, packages are those compiled. */
const EXEC_ARGV = ['--import', 'tsx'];

/** Starts the module and resolves once it has said where it listens. */
export default function startProcess(
  name: 'target' | 'passThrough' | 'node',
  args: readonly string[] = [],
): Promise<{ readonly child: ChildProcess; readonly address: string }> {
  const path = fileURLToPath(new URL(`./${name}/main.ts`, import.meta.url));
  const child = fork(path, [...args], { execArgv: EXEC_ARGV });
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', (code) => reject(new Error(`${name} ended with ${code}`)));
    child.once('message', (address) => resolve({ child, address: String(address) }));
  });
}
