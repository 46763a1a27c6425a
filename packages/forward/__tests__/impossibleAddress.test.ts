/**
 * Guards against LOST: a target at an address that nothing can be sent to must not cost a caller its answer.
 */
import { expect } from 'chai';
import buildTarget from './__fixtures__/buildTarget.js';
import ForwardHarness from './__fixtures__/ForwardHarness.js';

describe('a target at an impossible address', () => {
  ['127.0.0.1:99999', '127.0.0.1:0', 'nowhere', ''].forEach((address) => {
    it(`is refused as not run: '${address}'`, async () => {
      const harness = new ForwardHarness([buildTarget('a', address)], { ip: '127.0.9.41' });
      await harness.start();
      try {
        expect(await harness.sendRequest('1', '/once')).to.include({ _tag: 'NotRun', status: 503 });
      } finally {
        await harness.stop();
      }
    });
  });
});
