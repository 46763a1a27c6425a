/**
 * Changes of the configuration: who wins, what is told, and what a lost answer comes to.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import snapshot from 'snap-shot-it';
import parseStoredConfiguration from '@burdockcove/configuration/stored/parseStoredConfiguration';
import buildBench from './buildBench.js';

const TARGET = 'catalogue-bdg-a-1';

describe('changes', () => {
  let directory: string;
  let bench: Awaited<ReturnType<typeof buildBench>>;

  async function write(name: string, text: string): Promise<string> {
    const file = join(directory, name);
    await writeFile(file, text);
    return file;
  }

  async function readStored() {
    const entry = await bench.store.readKey('state/configuration')();
    const text = isRight(entry) && isSome(entry.right) ? entry.right.value.value : '';
    const parsed = parseStoredConfiguration(text);
    if (!isRight(parsed)) {
      throw new Error(parsed.left);
    }
    return parsed.right.accepted;
  }

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'burdockcovectl-'));
    bench = await buildBench();
    const file = await write('first.jsonc', bench.example);
    const first = await bench.run('ani', ['apply', file], { base: 0 });
    expect(first._tag).to.equal('Done');
  });

  afterEach(() => rm(directory, { recursive: true }));

  async function writeCurrent(change: (text: string) => string): Promise<string> {
    const got = await bench.run('ani', ['get']);
    return write('edited.jsonc', change(got.lines.join('\n')));
  }

  it('stores the first configuration with its change record and its shift records', async () => {
    expect(await readStored()).to.include({ revision: 1, operator: 'ani', reason: 'because' });
    const shifts = await bench.store.listKeys('state/shift/')();
    const keys = isRight(shifts) ? shifts.right.entries.map(({ key }) => key) : [];
    expect(keys).to.deep.equal(['state/shift/catalogue-tracks', 'state/shift/ledger-any']);
    const history = await bench.run('ani', ['history']);
    expect(history.lines[0]).to.contain('revision 1 (on 0) by ani: because');
  });

  it('takes back what get prints, and says what the cap makes of it', async () => {
    const file = await writeCurrent((text) => text.replace('"weight": 10', '"weight": 60'));
    const dryRun = await bench.run('budi', ['apply', file], { dryRun: true });
    snapshot(dryRun.lines);
    expect((await readStored()).revision).to.equal(1);
    expect((await bench.run('budi', ['apply', file]))._tag).to.equal('Done');
    expect((await readStored()).revision).to.equal(2);
  });

  it('says what a drain moves at once, with the demand that is there', async () => {
    const demand = ['ledger@jabar=10', 'ledger@jateng=6'];
    const drain = ['label', 'region', 'jabar', 'leaving=true'];
    const preview = await bench.run('budi', drain, { dryRun: true, demand });
    expect(preview.lines).to.include(
      'at once ledger requests at once: jabar 10 -> 0, jateng 6 -> 12, jatim 0 -> 4',
    );
    expect((await readStored()).revision).to.equal(1);
  });

  it('refuses a stale file with what changed in between, and by whom', async () => {
    const file = await writeCurrent((text) => text.replace('"weight": 10', '"weight": 20'));
    await bench.run('citra', ['label', 'target', TARGET, 'leaving=true'], { reason: 'new disk' });
    const stale = await bench.run('budi', ['apply', file]);
    expect(stale._tag).to.equal('Refused');
    snapshot(stale.lines.map((line) => line.replace(/at \S+Z/, 'at TIME')));
    expect((await readStored()).operator).to.equal('citra');
  });

  it('merges labels on other objects and refuses them on the same one', async () => {
    const base = 1;
    const words = (name: string, label: string) => ['label', 'target', name, label];
    await bench.run('citra', words(TARGET, 'leaving=true'), { base });
    const other = await bench.run('budi', words('catalogue-bdg-a-2', 'rack=r1'), { base });
    expect(other._tag).to.equal('Done');
    expect(other.lines.join('\n')).to.contain('by citra');
    const same = await bench.run('dewi', words(TARGET, 'rack=r2'), { base });
    expect(same._tag).to.equal('Refused');
    const { configuration } = await readStored();
    const labels = (name: string) =>
      configuration.targets.find((target) => target.name === name)?.labels;
    expect(labels(TARGET)).to.include({ leaving: 'true' });
    expect(labels(TARGET)).to.not.have.property('rack');
    expect(labels('catalogue-bdg-a-2')).to.include({ rack: 'r1' });
  });

  it('lets both of two operators at the same moment through, or tells one of the other', async () => {
    const [one, other] = await Promise.all([
      bench.run('budi', ['label', 'target', TARGET, 'rack=r1']),
      bench.run('citra', ['label', 'target', TARGET, 'rack=r2']),
    ]);
    expect([one._tag, other._tag].sort()).to.deep.equal(['Done', 'Refused']);
    const loser = one._tag === 'Refused' ? one : other;
    const winner = one._tag === 'Done' ? 'budi' : 'citra';
    expect(loser.lines.join('\n')).to.contain(`revision 2 by ${winner}`);
    const [third, fourth] = await Promise.all([
      bench.run('budi', ['label', 'region', 'jabar', 'tier=one']),
      bench.run('citra', ['label', 'region', 'jateng', 'tier=two']),
    ]);
    expect([third._tag, fourth._tag]).to.deep.equal(['Done', 'Done']);
    const { configuration, revision } = await readStored();
    expect(revision).to.equal(4);
    expect(configuration.regions.map(({ labels }) => labels.tier)).to.deep.equal([
      'one',
      'two',
      undefined,
    ]);
  });

  it('finds out by reading back when the store applied the change and lost its answer', async () => {
    bench.store.loseAnswers(1);
    const answer = await bench.run('budi', ['label', 'target', TARGET, 'rack=r1']);
    expect(answer._tag).to.equal('Done');
    expect(answer.lines[0]).to.contain('found by reading back');
    expect((await readStored()).revision).to.equal(2);
  });

  it('says unknown when the store cannot be asked, and tells it later by the change id', async () => {
    bench.store.setDelay(30_000);
    const change = ['label', 'target', TARGET, 'rack=r1'];
    bench.store.setDelay(0);
    const original = bench.store.readKey.bind(bench.store);
    bench.store.readKey = (key) => {
      const wasConfiguration = key === 'state/configuration';
      bench.store.setDelay(wasConfiguration ? 0 : 30_000);
      const read = original(key);
      return async () => {
        const result = await read();
        bench.store.setDelay(30_000);
        return result;
      };
    };
    const answer = await bench.run('budi', change);
    bench.store.readKey = original;
    bench.store.setDelay(0);
    expect(answer._tag).to.equal('Unknown');
    await bench.clock.advance(60_000);
    const [, changeId = ''] = /--change-id (\S+)'/.exec(answer.lines.join(' ')) ?? [];
    const found = await bench.run('budi', ['history'], { changeId });
    expect(found.lines.join('\n')).to.contain('by budi');
    expect((await readStored()).revision).to.equal(2);
    const again = await bench.run('budi', change, { changeId });
    expect(again.lines).to.deep.equal(['already accepted as revision 2']);
  });

  it('stores nothing during an outage and says so', async () => {
    bench.store.setDown(true);
    const answer = await bench.run('budi', ['label', 'target', TARGET, 'rack=r1']);
    expect(answer._tag).to.equal('Refused');
    bench.store.setDown(false);
    expect((await readStored()).revision).to.equal(1);
  });

  it('needs a base, a reason and known names', async () => {
    const file = await write('plain.jsonc', bench.example);
    expect((await bench.run('budi', ['apply', file]))._tag).to.equal('Usage');
    const silent = await bench.run('budi', ['apply', file], { base: 1, reason: undefined });
    expect(silent._tag).to.equal('Usage');
    const wrong = await bench.run('budi', ['label', 'target', 'catalogue-bdg-a-9', 'x=y']);
    expect('detail' in wrong && wrong.detail).to.contain('nearest name');
    expect((await bench.run('budi', ['label', 'target', TARGET, 'leaving=yes']))._tag).to.equal(
      'Refused',
    );
    expect((await bench.run('budi', ['lable']))._tag).to.equal('Usage');
  });
});
