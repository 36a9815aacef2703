// Exports only the modules of undici that the bundled programs use.
const Dispatcher = require("../node_modules/undici/lib/dispatcher/dispatcher.js");
Dispatcher.prototype.request = require("../node_modules/undici/lib/api/api-request.js");
exports.Client = require("../node_modules/undici/lib/dispatcher/client.js");
exports.buildConnector = require("../node_modules/undici/lib/core/connect.js");
exports.Pool = require("../node_modules/undici/lib/dispatcher/pool.js");
