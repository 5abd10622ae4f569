import process from 'node:process';
import {Writable} from 'node:stream';

/** Joins the log lines of one event loop iteration into a single write, since each write to a pipe blocks the process. */
export class BatchedLineStream extends Writable {
	private pendingLines: string[] = [];

	constructor(private readonly sink: NodeJS.WritableStream) {
		super({decodeStrings: false});
	}

	override _write(line: string, _encoding: string, done: () => void): void {
		if (this.pendingLines.length === 0) {
			setImmediate(this.flush);
			// The immediate does not run if the process exits first.
			process.once('exit', this.flush);
		}

		this.pendingLines.push(line);
		done();
	}

	private readonly flush = (): void => {
		process.off('exit', this.flush);
		if (this.pendingLines.length > 0) {
			const text = this.pendingLines.join('');
			this.pendingLines = [];
			this.sink.write(text);
		}
	};
}
