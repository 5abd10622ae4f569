import {createHash} from 'node:crypto';
import {type ConfigDocument, Signal} from '@egretrill/common';
import {ConfigOrigin, type VersionedConfig} from '@egretrill/hosts';

/** Holds the configuration of a fleet with a single voter. */
export class LocalOrigin extends ConfigOrigin {
	override readonly changed = new Signal();
	private config: VersionedConfig | undefined;

	constructor(private readonly hostId: string) {
		super();
	}

	apply(document: ConfigDocument): void {
		const digest = createHash('sha256').update(JSON.stringify(document)).digest('hex');
		this.config = {version: (this.config?.version ?? 0) + 1, digest, document};
		this.changed.notify();
	}

	override getConfig(): VersionedConfig | undefined {
		return this.config;
	}

	override getAgeMs(): number {
		return 0;
	}

	override getLeaderId(): string {
		return this.hostId;
	}
}
