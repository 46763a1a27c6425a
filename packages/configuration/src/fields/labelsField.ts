/**
 * Schema of labels.
 */
import { z } from 'zod';
import createText from './createText.js';

const RESERVED = ['region', 'failureDomain', 'service'];
const KEY_ERROR =
  'a label name: a letter, then up to 62 letters, digits, ".", "_" or "-", and none of the built-in region, failureDomain, service';
const VALUE_ERROR = 'a label value of up to 63 letters, digits, ".", "_" or "-"';
const LEAVING_ERROR = '"true" or "false"';

const key = createText(/^[A-Za-z][A-Za-z0-9._-]{0,62}$/, KEY_ERROR).refine(
  (name) => !RESERVED.includes(name),
  { error: KEY_ERROR },
);
const value = createText(/^[A-Za-z0-9._-]{0,63}$/, VALUE_ERROR);

/** Labels that operators put on targets and places. */
const labelsField = z
  .record(key, value, { error: 'an object of labels' })
  .superRefine((labels, context) => {
    if (labels.leaving !== undefined && !['true', 'false'].includes(labels.leaving)) {
      context.addIssue({ code: 'custom', path: ['leaving'], message: LEAVING_ERROR });
    }
  });

export default labelsField;
