import {type Clock, Signal} from '@egretrill/common';
import type {TargetRegistry} from '@egretrill/engines';

/** Revision of a registry that an entry host knows. */
export type KnownRegistry = {readonly origin: string; readonly revision: number};

export type SyncNotifierOptions = {
	readonly clock: Clock;
	readonly registry: Pick<TargetRegistry, 'hasChangedSince' | 'getChangedRevision'>;
	/** Version of the configuration in force; 0 when there is none. */
	readonly getConfigVersion: () => number;
};

/** Holds the polls of entry hosts until there is something to tell. */
export class SyncNotifier {
	private readonly changed = new Signal();
	/** What the polls were woken for last. */
	private notified = {configVersion: 0, revision: 0};

	constructor(private readonly opts: SyncNotifierOptions) {}

	/** Resolves when the configuration or a target has changed after what a host knows, or when the time is over. */
	async wait(configVersion: number, known: KnownRegistry, waitMs: number): Promise<void> {
		const {clock, getConfigVersion, registry} = this.opts;
		const endsMs = clock.now() + waitMs;
		while (clock.now() < endsMs && getConfigVersion() <= configVersion && !registry.hasChangedSince(known)) {
			await this.changed.wait(clock, endsMs - clock.now());
		}
	}

	/** Wakes the polls that are held if there is something new; call it whenever the log or the registry may have changed. */
	notifyIfChanged(): void {
		const configVersion = this.opts.getConfigVersion();
		const revision = this.opts.registry.getChangedRevision();
		if (configVersion !== this.notified.configVersion || revision !== this.notified.revision) {
			this.notified = {configVersion, revision};
			this.changed.notify();
		}
	}
}
