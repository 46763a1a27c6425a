/**
 * Where the configuration is kept.
 */

/** Key under the store's prefix. */
const CONFIGURATION_KEY = 'state/configuration';

export default CONFIGURATION_KEY;
