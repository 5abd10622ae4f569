import {randomBytes} from 'node:crypto';
import {ApiKey} from '@egretrill/common';
import {getDigest, KEY_SECRET_BYTES} from '@egretrill/operators';
import {stringify} from 'yaml';
import {z} from 'zod';
import {Command, type CommandHelp} from '../command.js';
import {reportDone} from '../reports.js';
import {CommonArgs, type Report} from '../types.js';

const KeysNewArgs = z.object({...CommonArgs.shape, customer: ApiKey.shape.customer, id: ApiKey.shape.id.optional()});

/** Creates a key and prints its secret, which is stored nowhere. */
export class KeysNewCommand extends Command<typeof KeysNewArgs> {
	readonly help: CommandHelp = {
		usage: 'new <customer>',
		summary: 'Prints a fresh secret and the entry for the document; stores nothing',
		examples: [['keys new rabat-water --id rabat-water-2', 'Create a second key of a customer']],
	};

	readonly schema = KeysNewArgs;
	override readonly positionals = {customer: {type: 'string', describe: 'Customer that the key is for'}} as const;
	override readonly options = {id: {type: 'string', describe: 'Id of the key (default: the customer and random digits)'}} as const;

	async run({customer, id}: z.infer<typeof KeysNewArgs>): Promise<Report> {
		const secret = randomBytes(KEY_SECRET_BYTES).toString('base64url');
		const key: ApiKey = {
			id: id ?? `${customer}-${randomBytes(4).toString('hex')}`, customer, digest: getDigest(secret), state: 'active',
		};
		return reportDone(`Secret for the customer; it is shown only here:\n${secret}\n\nEntry for the document:\n${stringify({keys: [key]})}`, {secret, key});
	}
}
