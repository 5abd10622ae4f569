import type {ConfigDocument, Signal} from '@egretrill/common';
import type {ConfigUpdate} from '../types.js';

/** An accepted configuration with its version, digest and author. */
export type VersionedConfig = {
	readonly version: number;
	readonly digest: string;
	readonly author: string;
	readonly document: ConfigDocument;
};

/** Source from which a host and its followers obtain the configuration. */
export abstract class VersionedConfigSource {
	/** Notified when the configuration or the evidence on what ends targets changes. */
	abstract readonly changed: Signal;
	abstract getConfig(): VersionedConfig | undefined;
	/** Returns the update from the version to the configuration in force on this host. */
	abstract getUpdateSince(version: number): ConfigUpdate;
	/** Upper bound of the time since the leader confirmed this configuration as the latest; infinite if it never did. */
	abstract getAgeMs(): number;
	/** The hosts through which the configuration reached this one; empty on the leader. */
	abstract getVia(): readonly string[];
	abstract getLeaderId(): string | undefined;
}
