/**
 * The one function of `node:assert` that the bundled libraries call; the module itself delays the start.
 */
const MESSAGE = 'assertion failed';

module.exports = function assert(isTrue, message = MESSAGE) {
  if (!isTrue) {
    throw message instanceof Error ? message : new Error(message);
  }
};
