import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createLogger, getComponentLogger, type Logger} from '@egretrill/common';

export type Line = Readonly<Record<string, unknown>> & {readonly msg: string};

/** Takes the lines that a process with the given name and part would write. */
export class LogLines {
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
		// Lines leave at the end of a turn.
		await nextTurn();
		await nextTurn();
		return this.text;
	}

	/** The lines without what differs from process to process. */
	async getLines(): Promise<readonly Line[]> {
		const text = await this.getText();
		return text.split('\n').filter(line => line !== '').map(line => {
			const {name, hostname, pid, level, time, v, ...fields} = JSON.parse(line) as Line;
			return fields;
		});
	}
}
