/**
 * Schema of the labels that a route asks for.
 */
import { z } from 'zod';
import createText from './createText.js';

const key = createText(/^[A-Za-z][A-Za-z0-9._-]{0,62}$/, 'a label name');
const value = createText(/^[A-Za-z0-9._-]{0,63}$/, 'a label value');

/** Labels, the built-in `region`, `failureDomain` and `service` among them. */
const wantedLabelsField = z.record(key, value, { error: 'an object of labels' });

export default wantedLabelsField;
