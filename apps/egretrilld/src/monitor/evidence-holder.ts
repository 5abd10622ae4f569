import path from 'node:path';
import type {Settings} from '@egretrill/common';
import {EvidenceLog, FileEvidenceStorage} from '@egretrill/monitor';

/** The evidence log of this host, once it has been opened; hosts without a disk have none. */
export class EvidenceHolder {
	private log: EvidenceLog | undefined;

	constructor(private readonly settings: Settings) {}

	get(): EvidenceLog | undefined {
		return this.log;
	}

	async open(): Promise<void> {
		const {dataDir} = this.settings;
		if (dataDir !== undefined) {
			this.log = await EvidenceLog.open({storage: await FileEvidenceStorage.open(path.join(dataDir, 'evidence', 'evidence.jsonl'))});
		}
	}
}
