/**
 * The cells of the capacity page, worked out from the slopes at the target size.
 */
import type CapacityRow from './CapacityRow.js';
import type SlopeBook from './SlopeBook.js';
import type TargetSize from './TargetSize.js';

const BYTES_PER_MEGABYTE = 1024 * 1024;
const MS_PER_SECOND = 1000;
const SECONDS_PER_DAY = 86_400;
/** Regions' planners and the shift runner: a keep-alive each three seconds and a role each. */
const KEEP_ALIVE_SECONDS = 3;
const PERCENT = 100;

function listEntryVmRows(book: SlopeBook, size: TargetSize): readonly CapacityRow[] {
  const blocks = book.estimateAt('block-memory', size.blocks);
  const members = book.estimateAt('member-memory', size.nodes);
  const targets = book.estimateAt('configuration-memory', size.sites);
  const plan = book.estimateAt('plan-bytes', size.nodes / size.regions);
  const exchange = book.estimateAt('exchange-bytes', size.nodes);
  const changes = size.changesPerSecond * book.estimateAt('configuration-bytes', size.sites);
  const controlCpu = book.getLargest('control-cpu') / MS_PER_SECOND;
  const changeCpu =
    (size.changesPerSecond * book.estimateAt('configuration-ms', size.sites)) / MS_PER_SECOND;
  const role = 'entry VM';
  return [
    {
      role,
      what: 'memory of client blocks',
      slopes: ['block-memory'],
      formula: 'line at 730,000 blocks',
      value: blocks / BYTES_PER_MEGABYTE,
      unit: 'MB',
      mechanism: 'sorted typed arrays, binary search',
    },
    {
      role,
      what: 'memory of members',
      slopes: ['member-memory'],
      formula: 'line at 6,000 nodes',
      value: members / BYTES_PER_MEGABYTE,
      unit: 'MB',
      mechanism: 'one compact record a VM, in every VM',
    },
    {
      role,
      what: 'memory of the configuration',
      slopes: ['configuration-memory'],
      formula: 'line at 670 sites',
      value: targets / BYTES_PER_MEGABYTE,
      unit: 'MB',
      mechanism: 'parsed and compiled once a revision',
    },
    {
      role,
      what: "memory of its region's plan, as text",
      slopes: ['plan-bytes'],
      formula: 'line at 6,000 / 19 nodes, 36 targets',
      value: plan / BYTES_PER_MEGABYTE,
      unit: 'MB',
      mechanism: 'counts by target; today every VM keeps the plans of all regions, 19 times this',
    },
    {
      role,
      what: 'memory of control in all',
      slopes: ['block-memory', 'member-memory', 'configuration-memory', 'plan-bytes'],
      formula: 'sum of the above with 19 plans, as text and parsed (twice)',
      value: (blocks + members + targets + 2 * size.regions * plan) / BYTES_PER_MEGABYTE,
      unit: 'MB',
      limit: size.maxControlBytes / BYTES_PER_MEGABYTE,
      mechanism: 'as above; libraries are not counted',
    },
    {
      role,
      what: 'memory of control as a whole, measured in fleets',
      slopes: ['control-memory'],
      formula: 'line at 6,000 nodes, beside the rows above',
      value: book.estimateAt('control-memory', size.nodes) / BYTES_PER_MEGABYTE,
      unit: 'MB',
      limit: size.maxControlBytes / BYTES_PER_MEGABYTE,
      mechanism: 'replica, membership, exchange, roles, metrics of one process',
    },
    {
      role,
      what: 'calls to other entry VMs, quiet',
      slopes: ['exchange-calls'],
      formula: 'line at 6,000 nodes',
      value: book.estimateAt('exchange-calls', size.nodes),
      unit: 'calls/s',
      mechanism: 'one exchange a second; as many are answered',
    },
    {
      role,
      what: 'control bytes, quiet, both ways',
      slopes: ['exchange-bytes'],
      formula: 'line at 6,000 nodes',
      value: exchange,
      unit: 'bytes/s',
      limit: size.maxControlBytesPerSecond,
      mechanism: 'one exchange a second with a random peer; records in a message are bounded',
    },
    {
      role,
      what: 'control bytes of changes',
      slopes: ['configuration-bytes'],
      formula: '3,100 changes a day, whole configuration each',
      value: changes,
      unit: 'bytes/s',
      limit: size.maxControlBytesPerSecond,
      mechanism: 'each changed key is sent whole from a relay',
    },
    {
      role,
      what: 'processor time of control, quiet',
      slopes: ['control-cpu'],
      formula: 'largest measured value; network in memory, so HTTP/2 is not in it',
      value: controlCpu * PERCENT,
      unit: '% of a core',
      limit: size.maxCoreShare * PERCENT,
      mechanism: 'exchange, failure detection, follow stream',
    },
    {
      role,
      what: 'processor time of changes',
      slopes: ['configuration-ms'],
      formula: '3,100 changes a day, check and compile of 670 sites',
      value: changeCpu * PERCENT,
      unit: '% of a core',
      limit: size.maxCoreShare * PERCENT,
      mechanism: 'whole configuration compiled anew',
    },
    {
      role,
      what: 'time until a change is in force',
      slopes: ['in-force-ms'],
      formula: 'line at 6,000 nodes; network delay only, 20 ms one way',
      value: book.estimateAt('in-force-ms', size.nodes) / MS_PER_SECOND,
      unit: 's',
      limit: size.maxInForceSeconds,
      mechanism: 'store watch at relays, stream to the rest',
    },
  ];
}

function listRelayRows(book: SlopeBook, size: TargetSize): readonly CapacityRow[] {
  const relays = 2 * size.domains;
  const followers = size.nodes / relays;
  const changeBytes = book.estimateAt('configuration-bytes', size.sites);
  return [
    {
      role: 'relay',
      what: 'VMs that follow one relay',
      slopes: ['store-watches'],
      formula: '6,000 nodes over 2 relays a domain',
      value: followers,
      unit: 'streams',
      mechanism: 'two relays a failure domain by rendezvous hash; a lost one is followed elsewhere',
    },
    {
      role: 'relay',
      what: 'bytes sent to followers for changes',
      slopes: ['configuration-bytes'],
      formula: 'followers × 3,100 changes a day × whole configuration',
      value: followers * size.changesPerSecond * changeBytes,
      unit: 'bytes/s',
      limit: size.maxControlBytesPerSecond,
      mechanism:
        'whole values; above the limit the next step is deltas of the configuration, and a relay of relays',
    },
  ];
}

function listPlannerRows(book: SlopeBook, size: TargetSize): readonly CapacityRow[] {
  const nodes = size.nodes / size.regions;
  const stepMs = book.estimateAt('plan-ms', nodes);
  const restarts = size.restartsPerDay / size.regions / SECONDS_PER_DAY;
  return [
    {
      role: 'planner of a region',
      what: 'processor time of a step of the plan',
      slopes: ['plan-ms'],
      formula: 'line at 6,000 / 19 nodes',
      value: stepMs,
      unit: 'ms',
      mechanism: 'one role a region, held by lease, fenced by compare-and-swap',
    },
    {
      role: 'planner of a region',
      what: 'processor time for replaced VMs',
      slopes: ['plan-ms'],
      formula: '1,500 a day over 19 regions, three steps each',
      value: (3 * restarts * stepMs * PERCENT) / MS_PER_SECOND,
      unit: '% of a core',
      limit: size.maxCoreShare * PERCENT,
      mechanism: 'lower first, raise after confirmation',
    },
    {
      role: 'planner of a region',
      what: 'size of the plan in the store',
      slopes: ['plan-bytes'],
      formula: 'line at 6,000 / 19 nodes, 36 targets',
      value: book.estimateAt('plan-bytes', nodes),
      unit: 'bytes',
      limit: 1_000_000,
      mechanism: 'one key a region',
    },
  ];
}

function listStoreRows(book: SlopeBook, size: TargetSize): readonly CapacityRow[] {
  const watches = book.estimateAt('store-watches', size.domains);
  const reads = book.estimateAt('store-reads', size.domains);
  const roles = size.regions + 1;
  const plans = (3 * size.restartsPerDay) / SECONDS_PER_DAY;
  return [
    {
      role: 'store',
      what: 'waiting watches and reads, quiet',
      slopes: ['store-watches', 'store-reads'],
      formula: 'lines at 74 domains, added',
      value: watches + reads,
      unit: 'calls/s',
      limit: size.storeReadsPerSecond,
      mechanism: 'only relays read; a check each five seconds finds a silent watch',
    },
    {
      role: 'store',
      what: 'writes',
      slopes: [],
      formula:
        '20 roles kept alive each 3 s, 3 plan steps for each replaced VM, 3,100 changes a day',
      value: roles / KEEP_ALIVE_SECONDS + plans + size.changesPerSecond,
      unit: 'writes/s',
      limit: size.storeWritesPerSecond,
      mechanism: 'nothing of a node is written by the node itself',
    },
    {
      role: 'store',
      what: 'size of client blocks',
      slopes: ['block-bytes'],
      formula: 'line at 730,000 blocks',
      value: book.estimateAt('block-bytes', size.blocks),
      unit: 'bytes',
      mechanism:
        'encoded in parts below a megabyte; the parts are not read from the store yet, see below',
    },
  ];
}

function listOperationRows(book: SlopeBook, size: TargetSize): readonly CapacityRow[] {
  const lookups = size.lookupsPerSecond / size.nodes;
  return [
    {
      role: 'entry VM',
      what: 'processor time to find answers to look-ups, without HTTP',
      slopes: ['lookup-us'],
      formula: '6.6 million a second over 6,000 nodes, line at 6,000 nodes',
      value: (lookups * book.estimateAt('lookup-us', size.nodes) * PERCENT) / 1e6,
      unit: '% of a core',
      mechanism: 'answers serialised once for each service, region and rotation',
    },
  ];
}

/** All roles, in the order of the page. */
export default function listCapacityRows(
  book: SlopeBook,
  size: TargetSize,
): readonly CapacityRow[] {
  return [
    ...listEntryVmRows(book, size),
    ...listRelayRows(book, size),
    ...listPlannerRows(book, size),
    ...listStoreRows(book, size),
    ...listOperationRows(book, size),
  ];
}
