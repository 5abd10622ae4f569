import type {Options} from 'yargs';
import type {z} from 'zod';
import type {AdminClient} from './admin-client.js';
import {Command, connectionOptions} from './command.js';
import type {AdminConnector} from './connector.js';
import type {Output} from './output.js';
import type {ConnectionArgs, Report} from './types.js';

/** A command that runs against the operators' API of one host. */
export abstract class ConnectedCommand<Schema extends z.ZodType<ConnectionArgs>> extends Command<Schema> {
	override readonly options: Readonly<Record<string, Options>> = connectionOptions;

	constructor(private readonly connector: AdminConnector) {
		super();
	}

	async run(args: z.infer<Schema>, output: Output): Promise<Report> {
		return this.runOn(await this.connector.connect(args), args, output);
	}

	protected abstract runOn(client: AdminClient, args: z.infer<Schema>, output: Output): Promise<Report>;
}
