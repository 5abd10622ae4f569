import process from 'node:process';
import bunyan from 'bunyan';
import {BatchedLineStream} from './batched-lines.js';

export type Logger = bunyan;

/** Creates the root logger of a process; components derive theirs with `getComponentLogger`. */
export function createLogger(name: string, level: bunyan.LogLevel, sink: NodeJS.WritableStream = process.stdout): Logger {
	return bunyan.createLogger({
		name,
		level,
		stream: new BatchedLineStream(sink),
		// The message and stack of an error are not enumerable, so JSON.stringify would omit them.
		serializers: {err: bunyan.stdSerializers.err},
	});
}

/** Derives the logger of one component, which adds its name to every line. */
export function getComponentLogger(logger: Logger, component: string): Logger {
	return logger.child({component});
}
