/**
 * Runs a case: writes its record, ends what it started, and exits with 1 if the rule was broken, 0 if it held, 2 if the
 * case could not run.
 */
/* eslint-disable no-await-in-loop, no-restricted-syntax -- the steps follow each other. */
import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const BROKEN = 1;
const NOT_RUN = 2;
const LIMIT_MS = 115_000;

/** `play` gets a function that writes a line and one that registers an end action; it returns whether the rule held. */
export default async function runCase(moduleUrl, play) {
  const lines = [];
  const ends = [];
  const file = fileURLToPath(new URL('record.txt', moduleUrl));
  const startedAtMs = performance.now();
  const write = (text) => {
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(3);
    lines.push(`${seconds.padStart(8)} ${text}`);
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  const limit = new Promise((_resolve, reject) => {
    setTimeout(() => reject(new Error('the case takes too long')), LIMIT_MS).unref();
  });
  let code = NOT_RUN;
  try {
    write(hasTrouble ? 'with the disruption' : 'without the disruption');
    const holds = await Promise.race([
      play({ write, hasTrouble, onEnd: (end) => ends.push(end) }),
      limit,
    ]);
    write(holds ? 'the rule held' : 'the rule was broken');
    code = holds ? 0 : BROKEN;
  } catch (error) {
    write(`could not run: ${error.stack}`);
  }
  for (const end of ends.reverse()) {
    await end();
  }
  writeFileSync(file, `${lines.join('\n')}\n`);
  // eslint-disable-next-line n/no-process-exit -- nothing that a broken case leaves open may hold it up.
  process.exit(code);
}
