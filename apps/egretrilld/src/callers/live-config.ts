import {type ConfigIndex, ConfigSource, createConfigIndex} from '@egretrill/callers';
import type {VersionedConfigSource} from '@egretrill/hosts';

/** The configuration in force at this host, indexed for requests. */
export class LiveConfig extends ConfigSource {
	private index: ConfigIndex | undefined;
	private indexedVersion = 0;

	constructor(private readonly origin: VersionedConfigSource) {
		super();
	}

	override getIndex(): ConfigIndex | undefined {
		const config = this.origin.getConfig();
		if (config && config.version !== this.indexedVersion) {
			this.index = createConfigIndex(config.document);
			this.indexedVersion = config.version;
		}

		return this.index;
	}

	override getAgeMs(): number {
		return this.origin.getAgeMs();
	}
}
