import type {ConfigDocument, Signal} from '@egretrill/common';

/** A configuration that was accepted, with its number and digest. */
export type VersionedConfig = {
	readonly version: number;
	readonly digest: string;
	readonly document: ConfigDocument;
};

/** Where a host, or the hosts that follow it, learn the configuration. */
export abstract class ConfigOrigin {
	/** Notified after each change. */
	abstract readonly changed: Signal;
	abstract getConfig(): VersionedConfig | undefined;
	/** Milliseconds since the leader surely confirmed the configuration as the latest; infinite while unknown. */
	abstract getAgeMs(): number;
	abstract getLeaderId(): string | undefined;
}
