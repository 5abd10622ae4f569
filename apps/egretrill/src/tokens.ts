import type {ServiceIdentifier} from 'inversify';
import type {Command, CommandGroup} from './command.js';
import type {AdminConnector, Environment} from './connector.js';
import type {Output, Streams} from './output.js';

function createToken<T>(name: string): ServiceIdentifier<T> {
	return Symbol(`egretrill.${name}`);
}

/** Service identifiers of the dependencies in the container. */
export const tokens = {
	env: createToken<Environment>('environment'),
	streams: createToken<Streams>('streams'),
	createOutput: createToken<(isJson: boolean) => Output>('create output'),
	connector: createToken<AdminConnector>('connector'),
	commands: createToken<ReadonlyArray<Command | CommandGroup>>('commands'),
} as const;
