/**
 * The `capacity` command: fills the capacity page's tables and draws its plots from the slopes file.
 */
import { readFile, writeFile } from 'node:fs/promises';
import PAGE_FILE from './PAGE_FILE.js';
import SLOPES_FILE from './SLOPES_FILE.js';
import SlopeBook from './SlopeBook.js';
import fillPage from './fillPage.js';
import listCapacityRows from './listCapacityRows.js';
import readSlopes from './readSlopes.js';
import renderCapacityTables from './renderCapacityTables.js';
import renderPlot from './renderPlot.js';
import twoYearTarget from './twoYearTarget.js';

/** Slopes that are plotted, with the target size and the stated limit in the slope's unit. */
const PLOTS = [
  { name: 'in-force-ms', size: twoYearTarget.nodes, limit: twoYearTarget.maxInForceSeconds * 1000 },
  {
    name: 'exchange-bytes',
    size: twoYearTarget.nodes,
    limit: twoYearTarget.maxControlBytesPerSecond,
  },
  { name: 'block-memory', size: twoYearTarget.blocks, limit: twoYearTarget.maxControlBytes },
  { name: 'member-memory', size: twoYearTarget.nodes, limit: twoYearTarget.maxControlBytes },
];

const slopes = await readSlopes();
const book = new SlopeBook(slopes);
const tables = renderCapacityTables(listCapacityRows(book, twoYearTarget), slopes);
await writeFile(PAGE_FILE, fillPage(await readFile(PAGE_FILE, 'utf8'), tables));
for (const { name, size, limit } of PLOTS) {
  const svg = await renderPlot(book.getSlope(name), size, limit);
  await writeFile(new URL(`${name}.svg`, SLOPES_FILE), svg);
}
process.stdout.write('docs/CAPACITY.md and its plots are up to date with the slopes file\n');
process.exit(0);
