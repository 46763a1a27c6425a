/**
 * Sets the headers that concern customers in a request to a target.
 */
import type Customer from '@burdockcove/types/Customer';
import type CallerProtocol from './CallerProtocol.js';

const encodedNames = new WeakMap<Customer, string>();

/** Each character of a header is written as one byte; the name is sent as UTF-8. */
function encodeName(customer: Customer): string {
  const known = encodedNames.get(customer);
  if (known !== undefined) {
    return known;
  }
  const encoded = Buffer.from(customer.name, 'utf8').toString('latin1');
  encodedNames.set(customer, encoded);
  return encoded;
}

/** Whether two names of headers differ at most in case; most differ in length. */
function isSameName(name: string, other: string | undefined): boolean {
  return name.length === other?.length && name.toLowerCase() === other.toLowerCase();
}

/** Returns the flat name and value pairs without the key and without the name that the caller sent, with the customer's. */
export default function setCustomerHeaders(
  headers: readonly string[],
  { keyHeader, customerHeader }: CallerProtocol,
  customer: Customer | undefined,
): readonly string[] {
  const kept: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    const name = headers[i] as string;
    if (!isSameName(name, keyHeader) && !isSameName(name, customerHeader)) {
      kept.push(name, headers[i + 1] as string);
    }
  }
  if (customer !== undefined && customerHeader !== undefined) {
    kept.push(customerHeader, encodeName(customer));
  }
  return kept;
}
