import process from 'node:process';
import {Writable} from 'node:stream';

/** Writes the log lines of one turn of the event loop together, since each write to a pipe blocks the process. */
export class BatchedLines extends Writable {
	private lines: string[] = [];

	constructor(private readonly sink: NodeJS.WritableStream) {
		super({decodeStrings: false});
	}

	override _write(line: string, _encoding: string, done: () => void): void {
		if (this.lines.length === 0) {
			setImmediate(this.flush);
			// No further turn follows the exit of the process.
			process.once('exit', this.flush);
		}

		this.lines.push(line);
		done();
	}

	private readonly flush = (): void => {
		process.off('exit', this.flush);
		if (this.lines.length > 0) {
			const text = this.lines.join('');
			this.lines = [];
			this.sink.write(text);
		}
	};
}
