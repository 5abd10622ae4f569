import type {KeyView, ModelCopy, MonitoredConfig} from './types.js';

/** What the monitor can read of the fleet besides evidence and promises. */
export abstract class MonitorView {
	/** The configuration in force, or undefined before the first one. */
	abstract getConfig(): Promise<MonitoredConfig | undefined>;
	/** Where copies of models are, as this host knows it. */
	abstract getCopies(): Promise<readonly ModelCopy[]>;
	/** State of each key; a withdrawal is pending until no host can honour the key. */
	abstract getKeyState(keyId: string): Promise<KeyView['state']>;
}
