/**
 * The part of undici that the program on the users' platform uses; the rest, such as `fetch`, would delay its start.
 */
const buildConnector = require('undici/lib/core/connect.js');
const Client = require('undici/lib/dispatcher/client.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');
const request = require('undici/lib/api/api-request.js');

// As the package's index does, which is left out.
Object.assign(Dispatcher.prototype, { request });

module.exports = { Client, Pool, buildConnector };
