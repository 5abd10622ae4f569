import 'reflect-metadata';
import {Container} from 'inversify';
import {ApplyCommand} from './commands/apply.js';
import {AuditVerifyCommand} from './commands/audit-verify.js';
import {BenchCommand} from './commands/bench.js';
import {CheckCommand} from './commands/check.js';
import {ConfigCommand} from './commands/config.js';
import {DrainCommand} from './commands/drain.js';
import {KeysListCommand} from './commands/keys-list.js';
import {KeysNewCommand} from './commands/keys-new.js';
import {KeysWithdrawCommand} from './commands/keys-withdraw.js';
import {PlacementExplainCommand} from './commands/placement-explain.js';
import {ReviewCommand} from './commands/review.js';
import {StartCommand} from './commands/start.js';
import {StatusCommand} from './commands/status.js';
import {TargetsCommand} from './commands/targets.js';
import {ZoneChangeCommand} from './commands/zones-change.js';
import {ZonesListCommand} from './commands/zones-list.js';
import {AdminConnector, type Environment} from './connector.js';
import {JsonOutput, type Streams, TextOutput} from './output.js';
import {tokens} from './tokens.js';

export type ContainerOptions = {readonly env: Environment; readonly streams: Streams};

/** Creates the dependency container of the command line; the only module that depends on every command. */
export function createContainer({env, streams}: ContainerOptions): Container {
	const container = new Container();
	container.bind(tokens.env).toConstantValue(env);
	container.bind(tokens.streams).toConstantValue(streams);
	container.bind(tokens.createOutput).toDynamicValue(ctx => isJson => isJson ? new JsonOutput(ctx.get(tokens.streams)) : new TextOutput(ctx.get(tokens.streams))).inSingletonScope();
	container.bind(tokens.connector).toDynamicValue(ctx => new AdminConnector(ctx.get(tokens.env))).inSingletonScope();
	container.bind(tokens.commands).toDynamicValue(ctx => {
		const connector = ctx.get(tokens.connector);
		return [
			new StartCommand(),
			new CheckCommand(),
			new ReviewCommand(connector),
			new ApplyCommand(connector),
			new ConfigCommand(connector),
			new StatusCommand(connector),
			{usage: 'keys', summary: 'Lists, creates and withdraws the keys of callers', commands: [new KeysListCommand(connector), new KeysNewCommand(), new KeysWithdrawCommand(connector)]},
			{
				usage: 'zones',
				summary: 'Lists zones and changes their states',
				commands: [new ZonesListCommand(connector), new ZoneChangeCommand(connector, 'taken-out'), new ZoneChangeCommand(connector, 'in-service')],
			},
			new TargetsCommand(connector),
			new DrainCommand(connector),
			{usage: 'placement', summary: 'Explains where models run', commands: [new PlacementExplainCommand(connector)]},
			{usage: 'audit', summary: 'Verifies evidence', commands: [new AuditVerifyCommand()]},
			new BenchCommand(ctx.get(tokens.env)),
		];
	}).inSingletonScope();
	return container;
}
