import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createLogger, getComponentLogger, type Logger} from '@egretrill/common';

export type Line = Readonly<Record<string, unknown>> & {readonly msg: string};

/** Captures the log lines of a process, written by the given component. */
export class LogCapture {
	readonly logger: Logger;
	private text = '';

	constructor(component: string) {
		const sink = new PassThrough();
		sink.on('data', (bytes: Uint8Array) => {
			this.text += String(bytes);
		});
		this.logger = getComponentLogger(createLogger('egretrilld.core-ost-at-a-1', 'info', sink), component);
	}

	async getText(): Promise<string> {
		// Lines are written at the end of an event loop turn.
		await nextTurn();
		await nextTurn();
		return this.text;
	}

	/** The captured lines without the fields that differ between processes. */
	async getLines(): Promise<readonly Line[]> {
		const text = await this.getText();
		return text.split('\n').filter(line => line !== '').map(line => {
			const {name, hostname, pid, level, time, v, ...fields} = JSON.parse(line) as Line;
			return fields;
		});
	}
}
