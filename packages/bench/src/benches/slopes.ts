/**
 * Growth of state, messages and time with the size of the system.
 */
import { writeFile } from 'node:fs/promises';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import SLOPES_FILE from '../capacity/SLOPES_FILE.js';
import type Slope from '../capacity/Slope.js';
import measureSlopes from '../capacity/measureSlopes.js';

function listFigures(slope: Slope): readonly FigureDraft[] {
  const { name, per, unit } = slope;
  const growth = slope.straight ? 'a line' : 'not a line';
  return [
    { figure: `${name}: slope`, value: slope.slope, unit: `${unit} for each of ${per}` },
    { figure: `${name}: at size zero`, value: slope.intercept, unit },
    { figure: `${name}: residual, ${growth}`, value: slope.residual, unit: 'share' },
  ];
}

const slopes: Bench = {
  name: 'slopes',
  summary: 'slopes of state, messages and time at four sizes each; writes the slopes file',
  async run(seed) {
    const measured = await measureSlopes(seed);
    await writeFile(SLOPES_FILE, `${JSON.stringify({ seed, slopes: measured }, null, 2)}\n`);
    return measured.flatMap(listFigures);
  },
};

export default slopes;
