#!/usr/bin/env node
import process from 'node:process';
import {hideBin} from 'yargs/helpers';
import {runCli} from './cli.js';
import {createContainer} from './container.js';

const {env, stdout, stderr} = process;
const container = createContainer({env, streams: {stdout, stderr, hasTerminal: stderr.isTTY}});
process.exit(await runCli(hideBin(process.argv), container));
