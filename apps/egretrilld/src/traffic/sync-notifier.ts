import {type Clock, Signal} from '@egretrill/common';
import type {TargetRegistry} from '@egretrill/engines';

/** Registry revision up to which an entry host is up to date. */
export type KnownRegistry = {readonly origin: string; readonly revision: number};

export type SyncNotifierOptions = {
	readonly clock: Clock;
	readonly registry: Pick<TargetRegistry, 'hasChangedSince' | 'getChangedRevision'>;
	/** Version of the configuration in force; 0 when there is none. */
	readonly getConfigVersion: () => number;
};

/** Holds the long polls of entry hosts until the configuration or a target changes. */
export class SyncNotifier {
	private readonly changed = new Signal();
	/** Configuration version and registry revision at the last notification. */
	private notified = {configVersion: 0, revision: 0};

	constructor(private readonly opts: SyncNotifierOptions) {}

	/** Resolves when the configuration or a target is newer than the given state, or when the wait times out. */
	async wait(configVersion: number, known: KnownRegistry, waitMs: number): Promise<void> {
		const {clock, getConfigVersion, registry} = this.opts;
		const endsMs = clock.now() + waitMs;
		while (clock.now() < endsMs && getConfigVersion() <= configVersion && !registry.hasChangedSince(known)) {
			await this.changed.wait(clock, endsMs - clock.now());
		}
	}

	/** Wakes the held polls if the configuration or a target has changed; must be called whenever the log or the registry may have changed. */
	notifyIfChanged(): void {
		const configVersion = this.opts.getConfigVersion();
		const revision = this.opts.registry.getChangedRevision();
		if (configVersion !== this.notified.configVersion || revision !== this.notified.revision) {
			this.notified = {configVersion, revision};
			this.changed.notify();
		}
	}
}
