/**
 * Shape of settings.
 */
import { z } from 'zod';
import defaults from './defaults.js';
import createText from './fields/createText.js';
import createWholeNumber from './fields/createWholeNumber.js';
import ipField from './fields/ipField.js';
import nameField from './fields/nameField.js';
import urlField from './fields/urlField.js';

const MAX_PORT = 65_535;
const MAX_SEED = 0x7fffffff;
const MAX_POLL_MS = 60_000;
const MAX_STOP_MS = 3_600_000;
const { settings } = defaults;

const port = createWholeNumber(1, MAX_PORT, 'port');
const levels = ['debug', 'info', 'warn', 'error'] as const;

const store = z.strictObject(
  {
    endpoints: z
      .array(urlField, { error: 'a list of URLs' })
      .min(1, { error: 'a list of at least one URL' }),
    prefix: createText(/^\S*\/$/, 'a key prefix that ends in "/"').default(settings.storePrefix),
  },
  { error: 'an object with "endpoints"' },
);

const vmList = z.strictObject(
  {
    url: urlField,
    pollMs: createWholeNumber(100, MAX_POLL_MS, 'milliseconds').default(settings.vmListPollMs),
  },
  { error: 'an object with "url"' },
);

const log = z.strictObject(
  {
    level: z
      .enum(levels, { error: '"debug", "info", "warn" or "error"' })
      .default(settings.logLevel),
    format: z.enum(['json', 'pretty'], { error: '"json" or "pretty"' }).default(settings.logFormat),
  },
  { error: 'an object with "level" and "format"' },
);

/** Defaults are filled in, but for the seed, which follows from the address. */
const settingsSchema = z.strictObject(
  {
    ip: ipField,
    callerPort: port.default(settings.callerPort),
    peerPort: port.default(settings.peerPort),
    adminPort: port.default(settings.adminPort),
    failureDomain: nameField,
    region: nameField,
    store,
    vmList,
    log: log.default({ level: settings.logLevel, format: settings.logFormat }),
    stopLimitMs: createWholeNumber(1, MAX_STOP_MS, 'milliseconds').default(settings.stopLimitMs),
    seed: createWholeNumber(0, MAX_SEED).optional(),
  },
  { error: 'a settings object' },
);

export default settingsSchema;
