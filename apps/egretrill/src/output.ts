import type {Report} from './types.js';

/** Output streams of the process; `hasTerminal` is set if standard error is a terminal. */
export type Streams = {
	readonly stdout: NodeJS.WritableStream; readonly stderr: NodeJS.WritableStream; readonly hasTerminal: boolean;
};

/** Output format of a command. */
export abstract class Output {
	constructor(protected readonly streams: Streams) {}

	/** Prints the result of the command. */
	abstract report(report: Report): void;
	/** Prints information that is needed before the result. */
	abstract notice(text: string, data: unknown): void;
	/** Shows transient progress. */
	abstract progress(text: string): void;
}

/** Human-readable text: results on standard output, failures and notices on standard error. */
export class TextOutput extends Output {
	private hasProgress = false;

	override report({exitCode, text}: Report): void {
		this.clearProgress();
		const stream = exitCode === 0 ? this.streams.stdout : this.streams.stderr;
		stream.write(text.endsWith('\n') ? text : `${text}\n`);
	}

	override notice(text: string): void {
		this.clearProgress();
		this.streams.stderr.write(`${text}\n`);
	}

	override progress(text: string): void {
		if (this.streams.hasTerminal) {
			this.clearProgress();
			this.streams.stderr.write(text);
			this.hasProgress = true;
		}
	}

	private clearProgress(): void {
		if (this.hasProgress) {
			this.streams.stderr.write('\r\u001B[K');
			this.hasProgress = false;
		}
	}
}

/** JSON for other programs: one document on standard output, one line for each notice on standard error. */
export class JsonOutput extends Output {
	override report({data}: Report): void {
		this.streams.stdout.write(`${JSON.stringify(data, undefined, 2)}\n`);
	}

	override notice(_text: string, data: unknown): void {
		this.streams.stderr.write(`${JSON.stringify(data)}\n`);
	}

	override progress(): void {
		// Programs read only the result.
	}
}
