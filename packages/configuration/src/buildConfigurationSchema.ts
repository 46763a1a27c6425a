/**
 * Shape of a configuration.
 */
import { z } from 'zod';
import defaults from './defaults.js';
import addressField from './fields/addressField.js';
import type BuildObject from './fields/BuildObject.js';
import createNumber from './fields/createNumber.js';
import createText from './fields/createText.js';
import createWholeNumber from './fields/createWholeNumber.js';
import labelsField from './fields/labelsField.js';
import nameField from './fields/nameField.js';
import pathPrefixField from './fields/pathPrefixField.js';
import wantedLabelsField from './fields/wantedLabelsField.js';

const MAX_COUNT = 1_000_000;
const MAX_DEADLINE_MS = 600_000;
const MAX_MEGABITS = 10_000_000;
const MAX_DELAY_MS = 10_000;
const MAX_WINDOW_SECONDS = 86_400;
const MAX_AGE_SECONDS = 3_600;
const MAX_ENTRY_VMS = 10_000;
const MAX_ANSWER_BYTES = 1_000_000_000;

const { deadlineMs, maxRequestsPerVm, maxQueuePerVm, retryBudget, expectedAnswerBytes } =
  defaults.configuration;
const flag = z.boolean({ error: 'true or false' });
const methodField = createText(/^(\*|[A-Z]+)$/, 'an HTTP method in capitals, or "*"');
const headerField = createText(/^[a-z0-9-]+$/, 'a header name in lower case');
const count = createWholeNumber(1, MAX_COUNT);
const pair = z.tuple([nameField, nameField], { error: 'a list of two region names' });

function createList<Item extends z.ZodType>(item: Item, of: string): z.ZodArray<Item> {
  return z.array(item, { error: `a list of ${of}` });
}

function createPlaceSchemas(buildObject: BuildObject) {
  const regions = buildObject(
    {
      name: nameField,
      labels: labelsField.default({}),
      maxInFlight: z
        .record(nameField, count, { error: 'an object of service names and limits' })
        .default({}),
    },
    { error: 'a region object' },
  );
  const failureDomains = buildObject(
    { name: nameField, region: nameField, labels: labelsField.default({}) },
    { error: 'a failure domain object' },
  );
  const links = buildObject(
    {
      between: pair,
      megabitsPerSecond: createNumber(1, MAX_MEGABITS, 'Mbit/s each way'),
      oneWayMs: createNumber(0, MAX_DELAY_MS, 'milliseconds one way'),
    },
    { error: 'a link object' },
  );
  return { regions, failureDomains, links };
}

function createServiceSchema(buildObject: BuildObject) {
  const match = buildObject(
    { host: nameField.optional(), pathPrefix: pathPrefixField },
    { error: 'a match object' },
  );
  const operation = buildObject(
    {
      method: methodField,
      pathPrefix: pathPrefixField,
      semantics: z.enum(['repeatable', 'at-most-once'], {
        error: '"repeatable" or "at-most-once"',
      }),
    },
    { error: 'an operation object' },
  );
  return buildObject(
    {
      name: nameField,
      match: createList(match, 'match objects').default([]),
      objective: z.enum(['headroom', 'latency'], { error: '"headroom" or "latency"' }),
      billed: flag.default(false),
      operations: createList(operation, 'operations').default([]),
      deadlineMs: createWholeNumber(1, MAX_DEADLINE_MS, 'milliseconds').default(deadlineMs),
      memberHeader: headerField.optional(),
      maxRequestsPerVm: count.default(maxRequestsPerVm),
      maxQueuePerVm: createWholeNumber(0, MAX_COUNT).default(maxQueuePerVm),
      retryBudget: createNumber(0, 1, 'retries as a share of requests').default(retryBudget),
      connectionsPerTarget: count,
      expectedAnswerBytes: createWholeNumber(1, MAX_ANSWER_BYTES, 'bytes').default(
        expectedAnswerBytes,
      ),
    },
    { error: 'a service object' },
  );
}

function createTargetSchema(buildObject: BuildObject) {
  return buildObject(
    {
      name: nameField,
      service: nameField,
      address: addressField,
      failureDomain: nameField,
      slots: count,
      labels: labelsField.default({}),
    },
    { error: 'a target object' },
  );
}

function createSelectorSchema(buildObject: BuildObject) {
  const capError = 'a number above 0 and up to 1 (share of the traffic that may move in a window)';
  const route = buildObject(
    { targets: wantedLabelsField, weight: createNumber(0, MAX_COUNT, 'relative weight') },
    { error: 'a route object' },
  );
  const shift = buildObject(
    {
      cap: z.number({ error: capError }).gt(0, { error: capError }).max(1, { error: capError }),
      windowSeconds: createWholeNumber(1, MAX_WINDOW_SECONDS, 'seconds'),
    },
    { error: 'an object with "cap" and "windowSeconds"' },
  );
  return buildObject(
    {
      name: nameField,
      service: nameField,
      clientRegions: createList(nameField, 'region names').default([]),
      routes: createList(route, 'routes').min(1, { error: 'a list of at least one route' }),
      overflow: flag.default(true),
      shift,
    },
    { error: 'a selector object' },
  );
}

/** The schema; `buildObject` decides what happens to unknown keys. */
export default function buildConfigurationSchema(buildObject: BuildObject) {
  const places = createPlaceSchemas(buildObject);
  const clientBlock = buildObject(
    { cidr: z.string({ error: 'a block such as "10.1.0.0/16"' }), region: nameField },
    { error: 'a client block object' },
  );
  return buildObject(
    {
      version: z.literal(1, { error: '1, the version of this format' }),
      regions: createList(places.regions, 'regions').min(1, { error: 'at least one region' }),
      failureDomains: createList(places.failureDomains, 'failure domains').min(1, {
        error: 'at least one failure domain',
      }),
      links: createList(places.links, 'links').default([]),
      services: createList(createServiceSchema(buildObject), 'services'),
      targets: createList(createTargetSchema(buildObject), 'targets'),
      selectors: createList(createSelectorSchema(buildObject), 'selectors').default([]),
      clientBlocks: createList(clientBlock, 'client blocks').default([]),
      entriesMaxAgeSeconds: createWholeNumber(1, MAX_AGE_SECONDS, 'seconds').default(
        defaults.configuration.entriesMaxAgeSeconds,
      ),
      maxEntryVms: createWholeNumber(1, MAX_ENTRY_VMS, 'entry VMs'),
    },
    { error: 'a configuration object' },
  );
}
