/**
 * Schema of names.
 */
import createText from './createText.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;

/** A host name label, since a service's name is one. */
const nameField = createText(
  NAME_PATTERN,
  'a name of 1 to 63 lower-case letters, digits and inner hyphens',
);

export default nameField;
