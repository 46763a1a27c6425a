/**
 * Delegation of watch callbacks and counting of calls by the store decorator.
 */
import { expect } from 'chai';
import { right } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import CountingStore from '../src/CountingStore.js';
import type Store from '../src/Store.js';

/** Calls `onAnswered` once in each watch. */
const RESPONDING_STORE = {
  watchPrefix: (_prefix, _from, _onEvent, _signal, onAnswered) => async () => {
    onAnswered?.();
    return right(undefined);
  },
} as Pick<Store, 'watchPrefix'> as Store;

describe('CountingStore', () => {
  it('passes on responses of the store to the watcher, and counts the watch', async () => {
    const registry = new Registry();
    const store = new CountingStore(RESPONDING_STORE, 'replica', registry);
    let responses = 0;
    const { signal } = new AbortController();
    await store.watchPrefix(
      '',
      1,
      () => undefined,
      signal,
      () => {
        responses += 1;
      },
    )();
    expect(responses).to.equal(1);
    expect(await registry.metrics()).to.contain(
      'burdockcove_store_calls_total{cause="replica",call="watch",result="ok"} 1',
    );
  });
});
