import {verifyEvidence} from '@egretrill/monitor';
import {z} from 'zod';
import {Command, type CommandHelp} from '../command.js';
import {createUsageError} from '../errors.js';
import {reportDone, reportRefused} from '../reports.js';
import {CommonArgs, type Report} from '../types.js';

const AuditArgs = z.object({...CommonArgs.shape, file: z.string()});

/** Verifies the hash chain of an evidence file. */
export class AuditVerifyCommand extends Command<typeof AuditArgs> {
	readonly help: CommandHelp = {
		usage: 'verify <file>',
		summary: 'Verifies an evidence file and names its first broken link',
		examples: [['audit verify data/evidence.log', 'Check the chain of a host, with the head file beside it']],
	};

	readonly schema = AuditArgs;
	override readonly positionals = {file: {type: 'string', describe: 'Evidence file'}} as const;

	async run({file}: z.infer<typeof AuditArgs>): Promise<Report> {
		const verification = await this.verify(file);
		if (!verification.intact) {
			const {line, fault, expected, found} = verification;
			return reportRefused(`${file}:${line}: broken link (${fault}): expected ${expected}, found ${found}`, {file, ...verification});
		}

		const {records, head, tornBytes} = verification;
		const tail = tornBytes > 0 ? `; ${tornBytes} bytes of an unacknowledged record at the end` : '';
		return reportDone(`${file}: ${records} records intact, head ${head?.hash ?? 'none'}${tail}`, {file, ...verification});
	}

	private async verify(file: string) {
		try {
			return await verifyEvidence(file);
		} catch (err: unknown) {
			throw createUsageError(`${file} cannot be read (${(err as NodeJS.ErrnoException).code ?? 'unknown error'}).`);
		}
	}
}
