import process from 'node:process';
import bunyan from 'bunyan';
import {BatchedLines} from './batched-lines.js';

export type Logger = bunyan;

/** Creates the root logger of a process; each part derives its own with `child({component})`. */
export function createLogger(name: string, level: bunyan.LogLevel, sink: NodeJS.WritableStream = process.stdout): Logger {
	return bunyan.createLogger({
		name,
		level,
		stream: new BatchedLines(sink),
		// The message and stack of an error are not enumerable, so that plain JSON leaves them out.
		serializers: {err: bunyan.stdSerializers.err},
	});
}

/** Derives the logger of one part, whose messages all start with the same prefix field. */
export function getComponentLogger(logger: Logger, component: string): Logger {
	return logger.child({component});
}
