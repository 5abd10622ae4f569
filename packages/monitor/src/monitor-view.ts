import type {KeyView, ModelCopy, MonitoredConfig} from './types.js';

/** Fleet state that the monitor can read, in addition to evidence and promise counters. */
export abstract class MonitorView {
	/** The configuration in force, or undefined before the first one. */
	abstract getConfig(): Promise<MonitoredConfig | undefined>;
	/** Model copies on targets, as last reported to this host. */
	abstract getCopies(): Promise<readonly ModelCopy[]>;
	/** State of a key; a withdrawal is pending until no host can accept the key any more. */
	abstract getKeyState(keyId: string): Promise<KeyView['state']>;
}
