/**
 * The command itself against the store's gateway: exit codes and output.
 */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import SystemClock from '@burdockcove/runtime/SystemClock';
import StoreServer from '@burdockcove/standins/store/StoreServer';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';

const MAIN = fileURLToPath(new URL('../src/main.ts', import.meta.url));
const EXAMPLE = fileURLToPath(
  new URL('../../../examples/java/configuration.jsonc', import.meta.url),
);

describe('burdockcovectl', () => {
  const store = new StoreStandIn(new SystemClock());
  const server = new StoreServer(store);
  let address: string;

  before(async () => {
    address = await server.start('127.9.9.2', 0);
  });

  after(() => server.stop());

  function run(...words: readonly string[]): Promise<{ code: number; out: string; err: string }> {
    const args = ['--import', 'tsx', '--conditions=source', MAIN, ...words];
    const env = { ...process.env, BURDOCKCOVE_STORE: `http://${address}` };
    return new Promise((resolve) => {
      execFile(process.execPath, args, { env }, (error, out, err) => {
        resolve({ code: typeof error?.code === 'number' ? error.code : 0, out, err });
      });
    });
  }

  it('ends with the exit code of the outcome', async () => {
    const applied = await run('apply', EXAMPLE, '--base', '0', '--reason', 'first');
    expect(applied).to.include({ code: 0, err: '' });
    expect(applied.out).to.contain('accepted as revision 1');
    const again = await run('apply', EXAMPLE, '--base', '0', '--reason', 'again');
    expect(again.code).to.equal(1);
    expect(again.err).to.contain('revision 1 by').and.to.contain(': first');
    expect((await run('apply', EXAMPLE, '--base', '1')).code).to.equal(2);
    const asJson = await run('diff', EXAMPLE, '--json');
    expect(JSON.parse(asJson.out)).to.deep.equal({ revision: 1, changes: [] });
  }).timeout(30_000);
});
