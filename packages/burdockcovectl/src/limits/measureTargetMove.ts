/**
 * How much traffic a change moves when another selector takes over.
 */
import type Configuration from '@burdockcove/types/Configuration';
import listShares from './listShares.js';
import listUsableTargets from './listUsableTargets.js';

function listTargetShares(
  configuration: Configuration,
  service: string,
  clientRegion: string,
): { readonly selector: string; readonly shares: ReadonlyMap<string, number> } {
  const usable = listUsableTargets(configuration, service);
  const { selector, routes } = listShares(configuration, service, clientRegion, usable);
  const shares = new Map<string, number>();
  routes.forEach(({ share, targets }) => {
    targets.forEach(({ target }) => {
      shares.set(target.name, (shares.get(target.name) ?? 0) + share / targets.length);
    });
  });
  return { selector: selector?.name ?? '', shares };
}

/** The selectors that decide before and after for one region's clients, and the share that moves, 0 to 1. */
export default function measureTargetMove(
  before: Configuration,
  after: Configuration,
  service: string,
  clientRegion: string,
): { readonly from: string; readonly to: string; readonly moved: number } {
  const was = listTargetShares(before, service, clientRegion);
  const is = listTargetShares(after, service, clientRegion);
  const moved = [...is.shares].reduce(
    (sum, [target, share]) => sum + Math.max(0, share - (was.shares.get(target) ?? 0)),
    0,
  );
  return { from: was.selector, to: is.selector, moved: was.shares.size === 0 ? 0 : moved };
}
