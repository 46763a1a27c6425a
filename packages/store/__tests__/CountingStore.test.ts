/**
 * What is put around a store hands everything on.
 */
import { expect } from 'chai';
import { right } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import CountingStore from '../src/CountingStore.js';
import type Store from '../src/Store.js';

/** Says at each watch that the store was heard. */
const HEARD_STORE = {
  watchPrefix: (_prefix, _from, _onEvent, _signal, onAnswered) => async () => {
    onAnswered?.();
    return right(undefined);
  },
} as Pick<Store, 'watchPrefix'> as Store;

describe('CountingStore', () => {
  it('tells a watcher that the store was heard, and counts the watch', async () => {
    const registry = new Registry();
    const store = new CountingStore(HEARD_STORE, 'replica', registry);
    let heard = 0;
    const { signal } = new AbortController();
    await store.watchPrefix(
      '',
      1,
      () => undefined,
      signal,
      () => {
        heard += 1;
      },
    )();
    expect(heard).to.equal(1);
    expect(await registry.metrics()).to.contain(
      'burdockcove_store_calls_total{cause="replica",call="watch",result="ok"} 1',
    );
  });
});
