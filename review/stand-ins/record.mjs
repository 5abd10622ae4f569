import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const MAX_CASE_MS = 115_000;

/** Keeps a record of what was sent, answered and run, and writes it to `record.txt` in the folder of the case. */
export class Record {
	lines = [];
	startMs = performance.now();

	constructor(folder) {
		this.file = path.join(folder, 'record.txt');
	}

	add(text) {
		this.lines.push(`${((performance.now() - this.startMs) / 1000).toFixed(3)} ${text}`);
	}

	write() {
		writeFileSync(this.file, `${this.lines.join('\n')}\n`);
	}
}

/** Plays a case: `play` resolves with whether the rule was broken. Resolves with the exit code: 1 if it was, 0 if not, and 2 if the case could not run. */
export async function runCase({folder, fleet, play}) {
	const record = new Record(folder);
	let code = 2;
	try {
		const outcome = await Promise.race([play(record, process.env.TROUBLE !== '0'), delay(MAX_CASE_MS, 'too long')]);
		if (outcome === 'too long') {
			record.add('The case took too long.');
		} else {
			code = outcome ? 1 : 0;
			record.add(outcome ? 'The rule was broken.' : 'The rule held.');
		}
	} catch (err) {
		record.add(`The case could not run: ${err.stack}`);
	}

	await fleet.end();
	record.write();
	console.log(record.lines.at(-1));
	return code;
}
