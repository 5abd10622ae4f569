import path from 'node:path';
import type {Logger, Settings} from '@egretrill/common';
import {type EvidenceLog, openEvidence} from '@egretrill/monitor';

/** Holds the evidence log of this host once it is open; hosts without a data directory have none. */
export class EvidenceHolder {
	private log: EvidenceLog | undefined;

	constructor(private readonly settings: Pick<Settings, 'dataDir'>, private readonly logger: Logger) {}

	get(): EvidenceLog | undefined {
		return this.log;
	}

	async open(): Promise<void> {
		const {dataDir} = this.settings;
		if (dataDir !== undefined) {
			this.log = await openEvidence(path.join(dataDir, 'evidence', 'evidence.jsonl'), {
				onDamage: ({keptAs, link}) => {
					this.logger.error({keptAs, link}, 'The evidence is damaged; it is kept under another name, and a new file begins.');
				},
			});
		}
	}
}
