/**
 * Customers by the digests of their keys.
 *
 * The table holds no key as text. A look-up digests the key and reads a map, so that its cost does not grow with the
 * number of keys, and its duration says nothing about the keys in the table.
 */
import type Customer from '@burdockcove/types/Customer';
import computeKeyDigest from './computeKeyDigest.js';

/** Built once per version of the configuration. */
export default class CustomerTable {
  /** `longestKeyBytes` is the length of the longest key in the table. */
  constructor(
    private readonly customers: ReadonlyMap<string, Customer>,
    private readonly longestKeyBytes: number,
    private readonly computeDigest: typeof computeKeyDigest = computeKeyDigest,
  ) {}

  /** Returns the number of customers that have a key. */
  countCustomers(): number {
    return this.listCustomers().length;
  }

  /** Returns the customers that have keys. */
  listCustomers(): readonly Customer[] {
    return [...new Set(this.customers.values())];
  }

  /** Returns the key's customer; `key` has one character for each byte. A key longer than all others is not digested. */
  findCustomer(key: string): Customer | undefined {
    return key.length > this.longestKeyBytes
      ? undefined
      : this.customers.get(this.computeDigest(key, 'latin1'));
  }
}
