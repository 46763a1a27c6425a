/**
 * A load source that never polls targets.
 */
import type LoadSource from './LoadSource.js';

/** Choices then depend only on what this entry VM observes itself. */
export default class NoopLoadSource implements LoadSource {
  watchTarget(): void {
    // No reports are requested.
  }

  isInitialPollDone(): boolean {
    return true;
  }
}
