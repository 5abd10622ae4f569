import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** What a caller received until its connection ended. */
export type ReceivedBytes = {readonly text: string; readonly isReset: boolean};

/** A caller that writes exactly the bytes of its test and collects what the host sends. */
export class CallerSocket {
	static async open(port: number): Promise<CallerSocket> {
		const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
		const caller = new CallerSocket(socket);
		await once(socket, 'connect');
		return caller;
	}

	text = '';
	private isReset = false;
	private readonly ended: Promise<void>;

	private constructor(readonly socket: Socket) {
		socket.on('data', (bytes: Uint8Array) => {
			this.text += String(bytes);
		});
		socket.on('error', () => {
			this.isReset = true;
		});
		this.ended = new Promise(resolve => {
			socket.once('end', resolve);
			socket.once('close', resolve);
		});
	}

	write(text: string): void {
		this.socket.write(text);
	}

	/** Resolves once the text has arrived, or the connection has ended. */
	async waitForText(text: string): Promise<void> {
		while (!this.text.includes(text) && !this.socket.readableEnded && !this.socket.destroyed) {
			await Promise.race([once(this.socket, 'data'), this.ended]);
		}
	}

	/** Resolves when the host has closed the connection. */
	async readToEnd(): Promise<ReceivedBytes> {
		await this.ended;
		this.socket.destroy();
		return {text: this.text, isReset: this.isReset};
	}
}

/** Describes answers by their status lines, Connection headers and bodies. */
export function describeAnswers({text, isReset}: ReceivedBytes): string {
	const answers = text.split(/(?=HTTP\/1\.1 \d{3} )/v).filter(answer => answer !== '').map(answer => {
		const status = /^HTTP\/1\.1 (?<status>\d+)/v.exec(answer)?.groups?.status;
		const connection = /^connection: (?<connection>.+)\r$/imv.exec(answer)?.groups?.connection;
		return `${status}, ${connection}, ${JSON.stringify(answer.slice(answer.indexOf('\r\n\r\n') + 4))}`;
	});
	return `${answers.join('; ') || 'no answer'}${isReset ? '; reset' : ''}`;
}
