#!/usr/bin/env node
import { main } from "../dist/src/mod.js";

await main(process.argv.slice(2));
