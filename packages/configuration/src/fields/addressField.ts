/**
 * Schema of addresses.
 */
import { z } from 'zod';
import isAddress from './isAddress.js';

const ERROR = 'an address such as "10.0.0.1:8080" with a port from 1 to 65535';

/** `IP:PORT`. */
const addressField = z.string({ error: ERROR }).refine(isAddress, { error: ERROR });

export default addressField;
