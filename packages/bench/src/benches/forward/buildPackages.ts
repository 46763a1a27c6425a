/**
 * The compiled packages that child processes run.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';

/** Compiles what has changed, so that a bench measures what ships; throws where that fails. */
export default async function buildPackages(): Promise<void> {
  const compiler = createRequire(import.meta.url).resolve('typescript/bin/tsc');
  const project = fileURLToPath(new URL('../../../../../tsconfig.build.json', import.meta.url));
  const child = spawn(process.execPath, [compiler, '--build', project], { stdio: 'inherit' });
  const [code] = await once(child, 'exit');
  if (code !== 0) {
    throw new Error(`compilation ended with ${code}`);
  }
}
