/**
 * Schema of path prefixes.
 */
import createText from './createText.js';

/** Whole segments; `/orders` matches `/orders` and `/orders/7`, not `/orders-old`. */
const pathPrefixField = createText(
  /^\/[^\s?#]*$/,
  'a path prefix that starts with "/" and has no "?", "#" or space',
);

export default pathPrefixField;
