/**
 * Client block lookups, compared with a linear search.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import ClientBlockTable from '../src/ClientBlockTable.js';
import computeBlockSize from '../src/computeBlockSize.js';
import formatIpv4 from '../src/formatIpv4.js';

const blocks = [
  { cidr: '10.2.0.0/16', region: 'b' },
  { cidr: '0.0.0.0/8', region: 'zero' },
  { cidr: '10.1.0.0/16', region: 'a' },
  { cidr: '255.255.255.255/32', region: 'last' },
  { cidr: '128.0.0.0/2', region: 'half' },
];

function findLinearly(address: number): string {
  const found = blocks.find(({ cidr }) => {
    const [ip = '', length = ''] = cidr.split('/');
    const first = ip.split('.').reduce((sum, octet) => sum * 256 + Number(octet), 0);
    return address >= first && address < first + computeBlockSize(Number(length));
  });
  return found?.region ?? '';
}

describe('ClientBlockTable', () => {
  it('finds the same region as a linear search', () => {
    const table = ClientBlockTable.fromBlocks(blocks);
    const edges = [0, 1, 0x0a010000, 0x0a00ffff, 0x0a02ffff, 0x0a030000, 0xbfffffff, 0xffffffff];
    const addresses = fc.oneof(fc.nat({ max: 0xffffffff }), fc.constantFrom(...edges));
    fc.assert(
      fc.property(addresses, (address) => {
        expect(table.findRegion(formatIpv4(address))).to.equal(findLinearly(address));
      }),
      { seed: 20261204, numRuns: 500 },
    );
  });

  it('returns no region for a malformed address', () => {
    const table = ClientBlockTable.fromBlocks(blocks);
    ['', '10.1', '10.1.0.256', '::1', '10.1.0.0.1', '010.1.0.0', '10.1.0.x'].forEach((text) => {
      expect(table.findRegion(text), text).to.equal('');
    });
  });
});
