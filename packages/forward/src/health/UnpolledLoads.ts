/**
 * Work without load reports.
 */
import type LoadSource from './LoadSource.js';

/** Own evidence only: targets are never asked. */
export default class UnpolledLoads implements LoadSource {
  watchTarget(): void {
    // Nothing is read.
  }

  hasWord(): boolean {
    return true;
  }
}
