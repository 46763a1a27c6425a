/**
 * Stands for a part of a library that the program never calls, and whose imports would delay its start.
 */
module.exports = function callUnused() {
  throw new Error('this part of the library is not in the bundle');
};
