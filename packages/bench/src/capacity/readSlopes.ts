/**
 * Reading of the slopes file.
 */
import { readFile } from 'node:fs/promises';
import type Slope from './Slope.js';
import SLOPES_FILE from './SLOPES_FILE.js';

/** The slopes as last measured. */
export default async function readSlopes(): Promise<readonly Slope[]> {
  const file = JSON.parse(await readFile(SLOPES_FILE, 'utf8')) as {
    readonly slopes: readonly Slope[];
  };
  return file.slopes;
}
