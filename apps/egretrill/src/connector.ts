import {OperatorName} from '@egretrill/operators';
import {AdminClient} from './admin-client.js';
import {ADMIN_ENV, OPERATOR_KEY_ENV, OPERATOR_NAME_ENV} from './constants.js';
import {createUsageError} from './errors.js';
import {readTextFile} from './files.js';
import type {ConnectionArgs} from './types.js';

export type Environment = Readonly<Record<string, string | undefined>>;

function parseAdminOrigin(address: string): string {
	const text = address.includes('://') ? address : `http://${address}`;
	const url = URL.parse(text);
	if (!url || !['http:', 'https:'].includes(url.protocol) || url.username !== '' || url.password !== '') {
		throw createUsageError(`The admin address is not an address as ip:port or an http(s) URL: ${address}`);
	}

	return url.origin;
}

/** Creates clients for the host given by the arguments or the environment. */
export class AdminConnector {
	constructor(private readonly env: Environment) {}

	async connect(args: ConnectionArgs): Promise<AdminClient> {
		const address = args.admin ?? this.env[ADMIN_ENV];
		if (!address) {
			throw createUsageError(`No host to talk to: give --admin ADDRESS or set ${ADMIN_ENV}.`);
		}

		const keyText = args.keyFile === undefined ? this.env[OPERATOR_KEY_ENV] : await readTextFile(args.keyFile);
		const credential = keyText?.trim();
		if (!credential) {
			throw createUsageError(`No operator credential: set ${OPERATOR_KEY_ENV} or give --key-file FILE.`);
		}

		const name = this.env[OPERATOR_NAME_ENV];
		const operator = args.operator ?? (name === undefined ? undefined : this.parseOperatorName(name));
		return new AdminClient({url: parseAdminOrigin(address), credential, operator});
	}

	private parseOperatorName(name: string): string {
		const parsed = OperatorName.safeParse(name);
		if (!parsed.success) {
			throw createUsageError(`${OPERATOR_NAME_ENV} must be ${parsed.error.issues[0]?.message ?? 'a name'}.`);
		}

		return parsed.data;
	}
}
