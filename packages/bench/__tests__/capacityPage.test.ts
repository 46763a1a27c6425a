/**
 * The capacity page agrees with the committed slopes.
 */
import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import PAGE_FILE from '../src/capacity/PAGE_FILE.js';
import SlopeBook from '../src/capacity/SlopeBook.js';
import fillPage from '../src/capacity/fillPage.js';
import fitSlope from '../src/capacity/fitSlope.js';
import listCapacityRows from '../src/capacity/listCapacityRows.js';
import readSlopes from '../src/capacity/readSlopes.js';
import renderCapacityTables from '../src/capacity/renderCapacityTables.js';
import twoYearTarget from '../src/capacity/twoYearTarget.js';

describe('capacity page', () => {
  it('shows what the committed slopes give', async () => {
    const page = await readFile(PAGE_FILE, 'utf8');
    const slopes = await readSlopes();
    const rows = listCapacityRows(new SlopeBook(slopes), twoYearTarget);
    expect(fillPage(page, renderCapacityTables(rows, slopes))).to.equal(page);
  });

  it('notices a page that parted from the slopes', async () => {
    const page = await readFile(PAGE_FILE, 'utf8');
    const slopes = (await readSlopes()).map((slope) => ({ ...slope, slope: slope.slope * 2 }));
    const rows = listCapacityRows(new SlopeBook(slopes), twoYearTarget);
    expect(fillPage(page, renderCapacityTables(rows, slopes))).not.to.equal(page);
  });

  it('tells growth along a line from other growth', () => {
    const measurement = { name: 'a', summary: 'a', per: 'nodes', unit: 'bytes' };
    const sizes = [1, 2, 4, 8];
    const line = fitSlope(
      measurement,
      sizes.map((size) => ({ size, value: 3 + 2 * size })),
    );
    const square = fitSlope(
      measurement,
      sizes.map((size) => ({ size, value: size * size })),
    );
    expect(line).to.include({ straight: true });
    expect(line.slope).to.be.closeTo(2, 1e-9);
    expect(square).to.include({ straight: false });
  });
});
