import type {ConfigDocument, Signal} from '@egretrill/common';
import type {ConfigUpdate} from '../types.js';
import type {BlockedFingerprint} from './types.js';

/** A configuration that was accepted, with its number, digest and author. */
export type VersionedConfig = {
	readonly version: number;
	readonly digest: string;
	readonly author: string;
	readonly document: ConfigDocument;
};

/** Where a host, or the hosts that follow it, learn the configuration. */
export abstract class VersionedConfigSource {
	/** Notified after each change. */
	abstract readonly changed: Signal;
	abstract getConfig(): VersionedConfig | undefined;
	/** What a follower at the version needs to reach the configuration in force here. */
	abstract getUpdateSince(version: number): ConfigUpdate;
	/** Milliseconds since the leader surely confirmed the configuration as the latest; infinite while unknown. */
	abstract getAgeMs(): number;
	/** The hosts above this one that its knowledge came through; empty at the leader. */
	abstract getVia(): readonly string[];
	abstract getLeaderId(): string | undefined;
	/** Requests that crashed several targets, as the leader counts them. */
	abstract getBlocked(): readonly BlockedFingerprint[];
}
