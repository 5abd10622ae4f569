import {type ConfigIndex, ConfigSource, createConfigIndex} from '@egretrill/callers';
import type {VersionedConfigSource} from '@egretrill/hosts';

/** The configuration in force at this host, indexed for requests. */
export class LiveConfig extends ConfigSource {
	private index: ConfigIndex | undefined;
	private indexedVersion = 0;

	constructor(private readonly source: VersionedConfigSource) {
		super();
	}

	override getIndex(): ConfigIndex | undefined {
		const config = this.source.getConfig();
		if (config && config.version !== this.indexedVersion) {
			this.index = createConfigIndex(config.document);
			this.indexedVersion = config.version;
		}

		return this.index;
	}

	override getAgeMs(): number {
		return this.source.getAgeMs();
	}
}
